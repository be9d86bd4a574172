package rattanstandin

import "github.com/rattanlever/rattanlever/rattanjson"

//go:generate go tool stringer -type=Outage -trimprefix=Outage

// Outage is a way in which the platform fails to serve calls.
type Outage int

// The kinds of outage. A call that arrives during an outage has no effect.
const (
	OutageNone Outage = iota
	// OutageUnavailable answers each call with status 503.
	OutageUnavailable
	// OutageClosed closes the connection of each call without a response.
	OutageClosed
	// OutageSilent sends no response. The connections of calls that are still
	// waiting when the outage ends are closed.
	OutageSilent
	outageCount
)

// Faults are the injected faults of the platform. The zero value injects none.
type Faults struct {
	Outage Outage
	// PartitionedZones are the availability zones whose calls get no response,
	// as with OutageSilent. The zone of a call follows from the address that
	// the call was sent to.
	PartitionedZones []string `json:"Partitioned,omitempty"`
	// Latency delays the effect of each call. The call takes effect even if the
	// client has given up by then.
	Latency rattanjson.Duration
	// LostResponseRate is the fraction, from 0 to 1, of writes whose connection is
	// closed after the write took effect and before the response is sent.
	LostResponseRate float64 `json:"LostAnswers"`
	// InstanceListLag is added to the lag of the instance list.
	InstanceListLag rattanjson.Duration
	// MissingInstanceRate is the fraction, from 0 to 1, of the instances that
	// are omitted from the instance list although they exist.
	MissingInstanceRate float64 `json:"MissingInstances"`
	// WriteLimit and ReadLimit are the rate limits in calls per second; 0 uses
	// the limits of PlatformOptions.
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
