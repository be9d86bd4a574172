package rattanstandin

import "github.com/rattanlever/rattanlever/rattanjson"

//go:generate go tool stringer -type=Outage -trimprefix=Outage

// Outage is how the platform fails to serve calls.
type Outage int

// The kinds of outage. A call that arrives in an outage has no effect.
const (
	OutageNone Outage = iota
	// OutageUnavailable answers every call with status 503.
	OutageUnavailable
	// OutageClosed closes the connection of every call without an answer.
	OutageClosed
	// OutageSilent leaves every call without an answer; the connections of
	// those that still wait are closed when the outage ends.
	OutageSilent
	outageCount
)

// Faults are the faults of the platform that are switched on. The zero value is
// a sound platform.
type Faults struct {
	Outage Outage
	// Partitioned are availability zones whose calls get no answer, as in
	// OutageSilent. A zone's calls are those to its address.
	Partitioned []string `json:",omitempty"`
	// Latency is added before the effect of each call. The effect then happens
	// even if the client has given up.
	Latency rattanjson.Duration
	// LostAnswers is the share, from 0 to 1, of writes whose connection is
	// closed after the effect and before the answer.
	LostAnswers float64
	// InstanceListLag is added to the lag of the instance list.
	InstanceListLag rattanjson.Duration
	// MissingInstances is the share, from 0 to 1, of the instances that are
	// left out of the instance list although they are there.
	MissingInstances float64
	// WriteLimit and ReadLimit are calls per second; 0 takes the limits of the
	// options.
	WriteLimit float64
	ReadLimit  float64
}

// MarshalText returns the name of the outage.
func (o Outage) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText parses the name of an outage.
func (o *Outage) UnmarshalText(text []byte) (err error) {
	*o, err = rattanjson.ParseEnum(text, outageCount)
	return err
}
