package rattanzone

import (
	"maps"
	"time"

	"github.com/rattanlever/rattanlever/rattanhome"
	"github.com/rattanlever/rattanlever/rattanscheduler"
)

const (
	// maxSentStarts bounds the number of outstanding starts in one heartbeat. Those that
	// leave a start list without an answer must fit.
	maxSentStarts = rattanhome.MaxListedStarts
	// maxReturnedStarts bounds the number of start requests of a former home in the
	// answer to an instance of its zone.
	maxReturnedStarts = 2 * rattanhome.MaxListedStarts
	// maxKeptStarts bounds the number of outstanding starts of a zone that are kept.
	maxKeptStarts = 2000
)

// outstandingKey identifies a start request.
type outstandingKey struct {
	task    string
	target  string
	attempt int
}

// outstandingStarts keeps, by zone, the start requests of homes that may still be
// carried out, with the time until which that is so, for the next home.
type outstandingStarts map[string]map[outstandingKey]time.Time

// add adds what a home of a zone has sent in a heartbeat, and returns the start requests
// that were not known before.
func (o outstandingStarts) add(zone string, starts []rattanscheduler.OutstandingStart, now time.Time) (learned []rattanscheduler.OutstandingStart) {
	return o.keep(zone, starts[:min(len(starts), maxSentStarts)], now)
}

// keep adds start requests of a zone, and returns those that were not known before.
func (o outstandingStarts) keep(zone string, starts []rattanscheduler.OutstandingStart, now time.Time) (learned []rattanscheduler.OutstandingStart) {
	if len(starts) == 0 {
		return nil
	}
	if o[zone] == nil {
		o[zone] = map[outstandingKey]time.Time{}
	}
	if len(o[zone])+len(starts) > maxKeptStarts {
		o.expire(zone, now)
	}
	for _, start := range starts {
		key := outstandingKey{start.Task, start.Target, start.Attempt}
		_, known := o[zone][key]
		if !known && len(o[zone]) >= maxKeptStarts {
			continue
		}
		if !known {
			learned = append(learned, start)
		}
		o[zone][key] = now.Add(min(start.Remaining, rattanscheduler.LateStartBound))
	}
	return learned
}

// expire forgets the start requests of a zone that cannot be carried out any more.
func (o outstandingStarts) expire(zone string, now time.Time) {
	maps.DeleteFunc(o[zone], func(_ outstandingKey, expiresAt time.Time) bool { return !now.Before(expiresAt) })
}

// of returns the start requests of a zone that may still be carried out, and forgets
// the others.
func (o outstandingStarts) of(zone string, now time.Time) []rattanscheduler.OutstandingStart {
	o.expire(zone, now)
	var list []rattanscheduler.OutstandingStart
	for key, expiresAt := range o[zone] {
		list = append(list, rattanscheduler.OutstandingStart{Task: key.task, Target: key.target, Attempt: key.attempt, Remaining: expiresAt.Sub(now)})
	}
	return list
}

// tellHome tells a home which start requests may still be carried out: those of the
// earlier homes of its zone, and those of other zones.
func (a *Agent) tellHome(home *rattanhome.Home, zone string, starts []rattanscheduler.OutstandingStart) {
	switch {
	case len(starts) == 0:
	case zone == a.config.Self.Zone:
		home.AddOutstandingStarts(starts)
	default:
		home.AddRemoteStarts(zone, starts)
	}
}

// journalLearned records of which start requests the local home was told.
func (a *Agent) journalLearned(zone, source string, starts []rattanscheduler.OutstandingStart) {
	if len(starts) > 0 {
		a.config.Journal.StartsLearned(zone, source, starts)
	}
}

// tellNewHome tells the new local home what this instance knows.
func (a *Agent) tellNewHome(home *rattanhome.Home, now time.Time) {
	a.mutex.Lock()
	own := a.config.Self.Zone
	known := map[string][]rattanscheduler.OutstandingStart{own: append(a.former.of(own, now), a.startRecord.ofZone(own, now)...)}
	for zone := range a.outstanding {
		known[zone] = append(known[zone], a.outstanding.of(zone, now)...)
	}
	a.mutex.Unlock()
	for zone, starts := range known {
		a.journalLearned(zone, "kept for the new home", starts)
		a.tellHome(home, zone, starts)
	}
}

// closeHome closes the former local home. This instance goes on telling which of its
// start requests may still be carried out: the next home may not have heard of all.
func (a *Agent) closeHome(home *rattanhome.Home, now time.Time) {
	home.Close()
	starts := home.OutstandingStarts()
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.former.keep(a.config.Self.Zone, starts, now)
}
