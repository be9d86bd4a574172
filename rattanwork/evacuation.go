package rattanwork

import "slices"

// Evacuations is the complete set of availability zones in which nothing more may
// start at the request of an operator.
type Evacuations struct {
	// Revision is the store revision as of which the set is complete, 0 if the set
	// is not known.
	Revision int64
	// Zones is sorted by zone.
	Zones []Evacuation `json:",omitempty"`
}

// Evacuation is an operator's request to start nothing more in a zone.
type Evacuation struct {
	Zone string
	// Since is the store revision of the request.
	Since int64
}

// Contains reports whether the zone is evacuated.
func (e *Evacuations) Contains(zone string) bool {
	return slices.ContainsFunc(e.Zones, func(evacuation Evacuation) bool { return evacuation.Zone == zone })
}

//go:generate go tool stringer -linecomment -type=EvacuationStatus -output=evacuation_string.go

// EvacuationStatus is what is known of the evacuation of one zone.
type EvacuationStatus int

// Statuses of a zone.
const (
	// EvacuationNone means that work may start in the zone.
	EvacuationNone EvacuationStatus = iota // none
	// EvacuationActive means that nothing may start in the zone.
	EvacuationActive // active
	// EvacuationUnknown means that nothing may start until the status is known.
	EvacuationUnknown // unknown
)
