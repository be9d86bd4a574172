// Package rattanjob defines submissions, their keys, their states and answers.
// It contains only data types with their validation and encoding.
package rattanjob

import (
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// ErrInvalidKey is returned for text that is not a valid submission key.
const ErrInvalidKey = errors.ConstError("not a submission key")

const (
	// keyVersion is the first byte of the binary encoding of a key.
	keyVersion = 1
	// nonceSize is in bytes, as is maxNameSize.
	nonceSize    = 12
	maxWitnesses = 4
	maxNameSize  = 64
)

// Incarnation identifies one run of an instance. Instance is unique in the
// system. Number is the start time of the process in milliseconds since the
// Unix epoch, so that a later run of the same instance has a higher number.
type Incarnation struct {
	Instance string
	Number   uint64
}

// EpochID identifies a period in which a home holds its authority without
// interruption.
type EpochID struct {
	Home Incarnation
	// Number is the number of the epoch within the incarnation, starting at 1.
	Number uint32
}

// Nonce distinguishes the keys of an epoch.
type Nonce [nonceSize]byte

// Key is the idempotency key of a submission. It names the home that alone
// decides whether the submission is new, and the witnesses that know whether
// the home's epoch has ended.
type Key struct {
	Epoch EpochID
	// Witnesses has at most 4 elements and is the same in all keys of an epoch.
	Witnesses []Incarnation
	// IssuedAt is the time of issue, counted from the start of the epoch on the
	// home's clock. It is encoded in milliseconds.
	IssuedAt time.Duration
	// CallerHash is the HashCaller of the caller that the key was issued to.
	CallerHash uint32
	Nonce      Nonce
}

// HashCaller returns the hash of a caller's name that is included in keys.
func HashCaller(caller string) uint32 {
	return uint32(xxhash.Sum64String(caller))
}

// ParseKey parses the text form of a key. It returns ErrInvalidKey if the text
// is not a valid key.
func ParseKey(text string) (Key, error) {
	data, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return Key{}, errors.WithType(errors.Errorf("%.64q: not a submission key", text), ErrInvalidKey)
	}
	reader := keyReader{data: data}
	key := reader.key()
	if reader.failed || len(reader.data) != 0 {
		return Key{}, errors.WithType(errors.Errorf("%.64q: not a submission key", text), ErrInvalidKey)
	}
	return key, nil
}

// MarshalText returns the text form of the key.
func (k Key) MarshalText() ([]byte, error) {
	return []byte(k.String()), nil
}

// String returns the text form of the key: the binary encoding as unpadded
// URL-safe base64.
func (k Key) String() string {
	data := make([]byte, 0, 128)
	data = append(data, keyVersion)
	data = appendIncarnation(data, k.Epoch.Home)
	data = binary.AppendUvarint(data, uint64(k.Epoch.Number))
	data = binary.AppendUvarint(data, uint64(k.IssuedAt/time.Millisecond))
	data = binary.BigEndian.AppendUint32(data, k.CallerHash)
	data = append(data, k.Nonce[:]...)
	data = append(data, byte(len(k.Witnesses)))
	for _, witness := range k.Witnesses {
		data = appendIncarnation(data, witness)
	}
	return base64.RawURLEncoding.EncodeToString(data)
}

// UnmarshalText parses the text form of a key; see ParseKey.
func (k *Key) UnmarshalText(text []byte) error {
	parsed, err := ParseKey(string(text))
	if err != nil {
		return err
	}
	*k = parsed
	return nil
}

func appendIncarnation(data []byte, incarnation Incarnation) []byte {
	data = append(data, byte(len(incarnation.Instance)))
	data = append(data, incarnation.Instance...)
	return binary.AppendUvarint(data, incarnation.Number)
}

// keyReader decodes the fields of a key. After the first error, failed stays
// set.
type keyReader struct {
	data   []byte
	failed bool
}

func (r *keyReader) key() Key {
	var key Key
	if version := r.bytes(1); r.failed || version[0] != keyVersion {
		r.failed = true
		return key
	}
	key.Epoch.Home = r.incarnation()
	key.Epoch.Number = uint32(r.uvarint(1<<32 - 1))
	key.IssuedAt = time.Duration(r.uvarint(1<<40)) * time.Millisecond
	if hash := r.bytes(4); !r.failed {
		key.CallerHash = binary.BigEndian.Uint32(hash)
	}
	copy(key.Nonce[:], r.bytes(nonceSize))
	count := r.bytes(1)
	if r.failed || int(count[0]) > maxWitnesses {
		r.failed = true
		return key
	}
	for range int(count[0]) {
		key.Witnesses = append(key.Witnesses, r.incarnation())
	}
	return key
}

func (r *keyReader) incarnation() Incarnation {
	size := r.bytes(1)
	if r.failed || size[0] == 0 || size[0] > maxNameSize {
		r.failed = true
		return Incarnation{}
	}
	name := string(r.bytes(int(size[0])))
	return Incarnation{Instance: name, Number: r.uvarint(1<<63 - 1)}
}

func (r *keyReader) bytes(size int) []byte {
	if r.failed || len(r.data) < size {
		r.failed = true
		return nil
	}
	field := r.data[:size]
	r.data = r.data[size:]
	return field
}

func (r *keyReader) uvarint(limit uint64) uint64 {
	value, size := binary.Uvarint(r.data)
	if r.failed || size <= 0 || value > limit {
		r.failed = true
		return 0
	}
	r.data = r.data[size:]
	return value
}
