package rattanload

import (
	"encoding/binary"
	"encoding/json"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// ErrMessage reports a message that cannot be decoded.
const ErrMessage = errors.ConstError("malformed load")

// CallerID is a hash of a caller's name. Two callers with the same hash share
// their weights, so that their parts may not follow their demand; no quota is
// exceeded.
type CallerID uint32

// callerBits is the size of a CallerID. At 220 callers two of them have the same
// ID in about one of 700 systems; each bit is sent with each weight.
const callerBits = 24

// HashCaller returns the ID of a caller.
func HashCaller(name string) CallerID {
	return max(CallerID(xxhash.Sum64String(name)>>(64-callerBits)), 1)
}

// Values are numbers by caller. Their JSON form is a string of varints in
// base64, a third of the size of an object.
type Values map[CallerID]int

// Share is what a home uses to divide quotas.
type Share struct {
	// Own is the weight that all other homes count for this one.
	Own int
	// Rest is the sum of the weights of all other homes.
	Rest int
}

// Shares are shares by caller, encoded as Values are.
type Shares map[CallerID]Share

// Report is the load of a home as it is sent to the aggregator of its zone.
type Report struct {
	Instance string
	// Sequence rises with each report of the instance, also over restarts.
	Sequence uint64
	// Term and Version name the shares that the home uses; 0 means none.
	Term    uint64 `json:",omitempty"`
	Version uint64 `json:",omitempty"`
	// Full says that Weights holds all weights above 0; otherwise it holds
	// those that have changed since the last report that was answered.
	Full    bool   `json:",omitempty"`
	Weights Values `json:",omitempty"`
	// Held are the Own values in use. It is sent in full reports only.
	Held Values         `json:",omitempty"`
	Idle map[string]int `json:",omitempty"`
}

// Reply answers a report.
type Reply struct {
	// Sequence is that of the report.
	Sequence uint64
	// Resend asks for a full report.
	Resend bool `json:",omitempty"`
	// Ready says that the fields below are set. It is false while the
	// aggregator has not heard from all homes and zones.
	Ready   bool   `json:",omitempty"`
	Term    uint64 `json:",omitempty"`
	Version uint64 `json:",omitempty"`
	// Base is the version since which Shares holds all changes; 0 means that it
	// holds all shares.
	Base   uint64 `json:",omitempty"`
	Shares Shares `json:",omitempty"`
	// Lenders are the homes to borrow from, in the order in which to ask them,
	// for the services of which the list has changed since Base.
	Lenders map[string][]string `json:",omitempty"`
}

// ZoneLoad is the load of an availability zone as it is sent to the aggregators
// of the other zones.
type ZoneLoad struct {
	Zone string
	// Term and Version name the state of the sender.
	Term    uint64
	Version uint64
	// Base is the version since which Weights holds all changes; 0 means that
	// it holds all weights.
	Base    uint64 `json:",omitempty"`
	Weights Values `json:",omitempty"`
	// HeldTerm and Held name the load of the receiver's zone that the sender
	// has, and Confirmed the version of that term that all homes of its zone
	// use.
	HeldTerm  uint64 `json:",omitempty"`
	Held      uint64 `json:",omitempty"`
	Confirmed uint64 `json:",omitempty"`
	// Lenders are the homes with the most idle slots, by service.
	Lenders map[string][]Idle `json:",omitempty"`
}

// Idle is a home with idle slots.
type Idle struct {
	Instance string
	Slots    int
}

// MarshalJSON returns the JSON form.
func (v Values) MarshalJSON() ([]byte, error) {
	return json.Marshal(packIDs(v, func(packed []byte, value int) []byte {
		return binary.AppendUvarint(packed, uint64(value))
	}))
}

// UnmarshalJSON takes the JSON form. The error is ErrMessage.
func (v *Values) UnmarshalJSON(data []byte) error {
	*v = Values{}
	return unpackIDs(data, func(id CallerID, numbers *reader) { (*v)[id] = numbers.next() })
}

// MarshalJSON returns the JSON form.
func (s Shares) MarshalJSON() ([]byte, error) {
	return json.Marshal(packIDs(s, func(packed []byte, share Share) []byte {
		return binary.AppendUvarint(binary.AppendUvarint(packed, uint64(share.Own)), uint64(share.Rest))
	}))
}

// UnmarshalJSON takes the JSON form. The error is ErrMessage.
func (s *Shares) UnmarshalJSON(data []byte) error {
	*s = Shares{}
	return unpackIDs(data, func(id CallerID, numbers *reader) {
		(*s)[id] = Share{Own: numbers.next(), Rest: numbers.next()}
	})
}

// packIDs appends the values in the order of their IDs, each after the
// difference of its ID from the one before.
func packIDs[V any](values map[CallerID]V, pack func(packed []byte, value V) []byte) []byte {
	packed := []byte{}
	last := CallerID(0)
	for _, id := range slices.Sorted(maps.Keys(values)) {
		packed = binary.AppendUvarint(packed, uint64(id-last))
		packed = pack(packed, values[id])
		last = id
	}
	return packed
}

// maxValue bounds the numbers of a message, so that sums cannot overflow.
const maxValue = 1 << 40

// reader reads varints until one is malformed.
type reader struct {
	data   []byte
	broken bool
}

func (r *reader) next() int {
	value, size := binary.Uvarint(r.data)
	if size <= 0 || value > maxValue {
		r.broken = true
		return 0
	}
	r.data = r.data[size:]
	return int(value)
}

func unpackIDs(data []byte, unpack func(id CallerID, numbers *reader)) error {
	var packed []byte
	if err := json.Unmarshal(data, &packed); err != nil {
		return errors.WithType(errors.Trace(err), ErrMessage)
	}
	numbers := &reader{data: packed}
	last := CallerID(0)
	for len(numbers.data) > 0 {
		last += CallerID(numbers.next())
		unpack(last, numbers)
		if numbers.broken {
			return errors.WithType(errors.New("varint"), ErrMessage)
		}
	}
	return nil
}
