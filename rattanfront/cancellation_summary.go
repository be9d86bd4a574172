package rattanfront

import (
	"slices"

	"github.com/rattanlever/rattanlever/rattanhome"
)

// zoneReply is a reply of a zone to a cancellation.
type zoneReply struct {
	zone string
	rattanhome.CancellationReply
}

// cancelSummary sums up the replies of zones to a cancellation.
type cancelSummary struct {
	// ownZone is the zone of this instance, zones contains all zones and replies the
	// sums of their replies.
	ownZone string
	zones   []string
	replies map[string]rattanhome.CancellationReply
	// reachability is the newest that the home of the own zone has stated, nil if it
	// has stated none.
	reachability *rattanhome.Reachability
}

func newCancelSummary(ownZone string, zones []string) *cancelSummary {
	return &cancelSummary{ownZone: ownZone, zones: zones, replies: map[string]rattanhome.CancellationReply{}}
}

func (s *cancelSummary) add(reply zoneReply) {
	earlier := s.replies[reply.zone]
	sum := reply.CancellationReply
	sum.Known = sum.Known || earlier.Known
	sum.Ended = sum.Ended || earlier.Ended
	s.replies[reply.zone] = sum
	if reply.zone == s.ownZone {
		s.reachability = reply.Reachability
	}
}

// settled reports whether further replies cannot change the outcome.
func (s *cancelSummary) settled() bool {
	unconfirmed, _ := s.outstanding()
	return len(unconfirmed) == 0 || s.endedIn() != ""
}

// endedIn returns the zone in which the job has ended, "" if it is known in none.
func (s *cancelSummary) endedIn() string {
	return s.find(func(r rattanhome.CancellationReply) bool { return r.Confirmed && (r.Ended || r.Finished) })
}

func (s *cancelSummary) known() bool {
	return s.find(func(r rattanhome.CancellationReply) bool { return r.Known }) != ""
}

// forgotten reports whether the home of some zone does not remember the cancellation.
func (s *cancelSummary) forgotten() bool {
	return s.find(func(r rattanhome.CancellationReply) bool { return r.Confirmed && !r.Remembered }) != ""
}

// find returns the first zone whose reply meets the condition, "" if there is none.
func (s *cancelSummary) find(condition func(rattanhome.CancellationReply) bool) string {
	for _, zone := range s.zones {
		if condition(s.replies[zone]) {
			return zone
		}
	}
	return ""
}

// outstanding returns the zones that have not confirmed the cancellation: those that
// are out of reach as owed, all others as unconfirmed.
func (s *cancelSummary) outstanding() (unconfirmed, owed []string) {
	for _, zone := range s.zones {
		switch {
		case s.replies[zone].Confirmed:
		case s.reachability != nil && !slices.Contains(s.reachability.Zones, zone):
			owed = append(owed, zone)
		default:
			unconfirmed = append(unconfirmed, zone)
		}
	}
	return unconfirmed, owed
}

func (s *cancelSummary) outcome(c *cancellation) CancelOutcome {
	unconfirmed, owed := s.outstanding()
	switch {
	case s.endedIn() != "":
		return JobCancelled
	case s.forgotten():
		return CancelRefused
	case len(unconfirmed) > 0:
		return CancelUnconfirmed
	case s.known() || c.request.Known || len(owed) > 0:
		// A zone that is out of reach may know the job.
		return JobCancelled
	case !c.remembered:
		return CancelRefused
	default:
		return JobUnknown
	}
}
