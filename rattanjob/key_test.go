package rattanjob

import (
	"bytes"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
)

func exampleKey() Key {
	return Key{
		Epoch:      EpochID{Home: Incarnation{Instance: "buda-1", Number: 1764800000000}, Number: 3},
		Witnesses:  []Incarnation{{Instance: "buda-2", Number: 1}, {Instance: "buda-3", Number: 1 << 62}},
		IssuedAt:   90 * time.Minute,
		CallerHash: HashCaller("app"),
		Nonce:      Nonce{1, 2, 3},
	}
}

// FuzzParseKey guards against keys that cause a panic, against errors other
// than ErrInvalidKey, and against keys that change in a round trip.
func FuzzParseKey(f *testing.F) {
	text := exampleKey().String()
	for _, seed := range []string{"", "AQ", text, text[:len(text)-2], text + "AA", strings.Repeat("_", 200)} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		c := qt.New(t)
		key, err := ParseKey(text)
		if err != nil {
			c.Assert(errors.Is(err, ErrInvalidKey), qt.IsTrue)
			return
		}
		again, err := ParseKey(key.String())
		c.Assert(err, qt.IsNil)
		c.Assert(again, qt.DeepEquals, key)
		c.Assert(len(key.Witnesses) <= maxWitnesses, qt.IsTrue)
		c.Assert(key.Epoch.Home.Instance, qt.Not(qt.Equals), "")
	})
}

// TestParseKey guards against accepting a truncated or extended key, and
// against errors that do not say what the text should be.
func TestParseKey(t *testing.T) {
	c := qt.New(t)
	key := exampleKey()
	parsed, err := ParseKey(key.String())
	c.Assert(err, qt.IsNil)
	c.Assert(parsed, qt.DeepEquals, key)
	text := key.String()
	for size := range len(text) {
		_, err := ParseKey(text[:size])
		c.Check(errors.Is(err, ErrInvalidKey), qt.IsTrue, qt.Commentf(text[:size]))
	}
	_, err = ParseKey(text + "AAAA")
	c.Assert(err, qt.ErrorMatches, `".*": not a submission key`)
}

// TestDigest guards against different bodies with the same digest, and against
// a digest that changes when a received body is encoded again.
func TestDigest(t *testing.T) {
	c := qt.New(t)
	singleTask := func(text string) []Task { return []Task{{Payload: bytes.Clone([]byte(text))}} }
	bodies := []Submission{
		{Kind: "list", Tasks: singleTask("1")},
		{Kind: "list", Tasks: singleTask("2")},
		{Kind: "list1", Tasks: singleTask("1")},
		{Kind: "list", Deadline: 10e9, Tasks: singleTask("1")},
		{Kind: "list1", Deadline: 0, Tasks: singleTask("2")},
		{Kind: "list", Tasks: append(singleTask("1"), singleTask("1")...)},
	}
	digests := map[uint64]bool{}
	for _, body := range bodies {
		digests[body.Digest()] = true
	}
	c.Assert(digests, qt.HasLen, len(bodies))
	// Without a separator between the kind and the deadline, these two would
	// have the same digest.
	first, second := Submission{Kind: "list1", Deadline: 0}, Submission{Kind: "list", Deadline: 10e9}
	c.Assert(first.Digest(), qt.Not(qt.Equals), second.Digest())
	received := Submission{Kind: "list", ReceivedDigest: 7}
	c.Assert(received.Digest(), qt.Equals, uint64(7))
}
