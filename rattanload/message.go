package rattanload

import (
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// ErrMalformed is the type of errors about messages that cannot be decoded.
const ErrMalformed = errors.ConstError("malformed load")

// CallerID is a hash of a caller's name. Two callers with the same hash share
// their weights. Their parts may then not follow their demand, but no quota is
// exceeded.
type CallerID uint32

// callerIDBits is the size of a CallerID. With 220 callers, about one system in
// 700 has two callers with the same ID. Each additional bit is sent with each
// weight.
const callerIDBits = 24

// HashCaller returns the ID of a caller.
func HashCaller(name string) CallerID {
	return max(CallerID(xxhash.Sum64String(name)>>(64-callerIDBits)), 1)
}

// CallerValues are integers by caller. They are encoded in JSON as a base64
// string of varints, which takes a third of the size of an object.
type CallerValues map[CallerID]int

// Share contains the weights from which a home computes its part of a quota.
type Share struct {
	// Own is the weight that all other homes count for this one.
	Own int
	// Rest is the sum of the weights of all other homes.
	Rest int
}

// Shares are shares by caller, encoded like CallerValues.
type Shares map[CallerID]Share

// Report is the load of a home that is sent to the aggregator of its zone.
type Report struct {
	Instance string
	// Sequence rises with each report of the instance, also across restarts.
	Sequence uint64
	// Term and Version identify the shares that the home uses; 0 means none.
	Term    uint64 `json:",omitempty"`
	Version uint64 `json:",omitempty"`
	// Full reports that Weights contains all weights above 0 and not only those
	// changed since the last report that was answered.
	Full    bool         `json:",omitempty"`
	Weights CallerValues `json:",omitempty"`
	// HeldWeights are the Own values in use. They are sent in full reports
	// only.
	HeldWeights CallerValues `json:"Held,omitempty"`
	// Idle is the number of idle slots by service.
	Idle map[string]int `json:",omitempty"`
}

// Reply is the reply to a report.
type Reply struct {
	// Sequence is that of the report.
	Sequence uint64
	// Resend requests a full report.
	Resend bool `json:",omitempty"`
	// Ready reports that the fields below are set. It is false while the
	// aggregator has not heard from all homes and zones.
	Ready bool `json:",omitempty"`
	// Term and Version identify the shares after this reply.
	Term    uint64 `json:",omitempty"`
	Version uint64 `json:",omitempty"`
	// BaseVersion is the version since which Shares contains all changes; 0
	// means that it contains all shares.
	BaseVersion uint64 `json:"Base,omitempty"`
	Shares      Shares `json:",omitempty"`
	// Lenders are the homes to borrow from, in the order in which to ask them,
	// for the services whose list has changed since BaseVersion.
	Lenders map[string][]string `json:",omitempty"`
}

// ZoneLoad is the load of an availability zone that is sent to the aggregators
// of the other zones.
type ZoneLoad struct {
	Zone string
	// Term and Version identify the state of the sender.
	Term    uint64
	Version uint64
	// BaseVersion is the version since which Weights contains all changes; 0
	// means that it contains all weights.
	BaseVersion uint64       `json:"Base,omitempty"`
	Weights     CallerValues `json:",omitempty"`
	// HeldTerm and HeldVersion identify the load of the receiver's zone that
	// the sender has, and ConfirmedVersion is the version of that term that all
	// homes of the sender's zone use.
	HeldTerm         uint64 `json:",omitempty"`
	HeldVersion      uint64 `json:"Held,omitempty"`
	ConfirmedVersion uint64 `json:"Confirmed,omitempty"`
	// Lenders are the homes with the most idle slots by service.
	Lenders map[string][]IdleHome `json:",omitempty"`
}

// IdleHome is a home with idle slots.
type IdleHome struct {
	Instance string
	Slots    int
}

// MarshalJSON implements json.Marshaler.
func (v CallerValues) MarshalJSON() ([]byte, error) {
	return json.Marshal(encodeByCaller(v, func(encoded []byte, value int) []byte {
		return binary.AppendUvarint(encoded, uint64(value))
	}))
}

// UnmarshalJSON implements json.Unmarshaler. It fails with ErrMalformed.
func (v *CallerValues) UnmarshalJSON(data []byte) error {
	*v = CallerValues{}
	return decodeByCaller(data, func(id CallerID, numbers *varintReader) { (*v)[id] = numbers.next() })
}

// MarshalJSON implements json.Marshaler.
func (s Shares) MarshalJSON() ([]byte, error) {
	return json.Marshal(encodeByCaller(s, func(packed []byte, share Share) []byte {
		return binary.AppendUvarint(binary.AppendUvarint(packed, uint64(share.Own)), uint64(share.Rest))
	}))
}

// UnmarshalJSON implements json.Unmarshaler. It fails with ErrMalformed.
func (s *Shares) UnmarshalJSON(data []byte) error {
	*s = Shares{}
	return decodeByCaller(data, func(id CallerID, numbers *varintReader) {
		(*s)[id] = Share{Own: numbers.next(), Rest: numbers.next()}
	})
}

// encodeByCaller encodes the values in the order of their IDs, each after the
// difference between its ID and the previous one.
func encodeByCaller[V any](values map[CallerID]V, appendValue func(encoded []byte, value V) []byte) []byte {
	encoded := []byte{}
	last := CallerID(0)
	for _, id := range slices.Sorted(maps.Keys(values)) {
		encoded = binary.AppendUvarint(encoded, uint64(id-last))
		encoded = appendValue(encoded, values[id])
		last = id
	}
	return encoded
}

// maxValue bounds the decoded numbers so that sums cannot overflow.
const maxValue = 1 << 40

// varintReader reads varints until it encounters a malformed one.
type varintReader struct {
	data      []byte
	malformed bool
}

// next returns the next number, or 0 if it is malformed.
func (r *varintReader) next() int {
	value, size := binary.Uvarint(r.data)
	if size <= 0 || value > maxValue {
		r.malformed = true
		return 0
	}
	r.data = r.data[size:]
	return int(value)
}

// decodeByCaller decodes what encodeByCaller encoded; readValue reads the value
// of one caller.
func decodeByCaller(data []byte, readValue func(id CallerID, r *varintReader)) error {
	var encoded []byte
	if err := json.Unmarshal(data, &encoded); err != nil {
		return errors.WithType(errors.Trace(err), ErrMalformed)
	}
	r := &varintReader{data: encoded}
	last := CallerID(0)
	for len(r.data) > 0 {
		last += CallerID(r.next())
		readValue(last, r)
		if r.malformed {
			return errors.WithType(errors.New("varint"), ErrMalformed)
		}
	}
	return nil
}
