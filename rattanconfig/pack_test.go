package rattanconfig

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestPack guards against a large document that changes in a round trip, a
// small document that is not readable as text, and a damaged or oversized value
// that is accepted.
func TestPack(t *testing.T) {
	c := qt.New(t)
	document := Document{Revision: 7, Callers: map[string]Caller{"app": {Weight: 1}}}
	small, err := Pack(document)
	c.Assert(err, qt.IsNil)
	c.Check(string(small), qt.Contains, `"Weight":1`)
	for i := range 1_000 {
		document.Callers[fmt.Sprintf("team-%d", i)] = Caller{Weight: float64(i + 1)}
	}
	packed, err := Pack(document)
	c.Assert(err, qt.IsNil)
	plain, err := Encode(document)
	c.Assert(err, qt.IsNil)
	c.Check(len(packed) < len(plain)/4, qt.IsTrue)
	for _, value := range [][]byte{packed, plain} {
		parsed, err := Parse(value)
		c.Assert(err, qt.IsNil)
		c.Check(Difference(document, parsed).Callers, qt.HasLen, 0)
		c.Check(parsed.Revision, qt.Equals, uint64(7))
	}
	var large bytes.Buffer
	writer := gzip.NewWriter(&large)
	_, _ = writer.Write(bytes.Repeat([]byte(" "), 2*maxDocumentBytes))
	_ = writer.Close()
	damaged := bytes.Clone(packed)
	damaged[len(damaged)/2] ^= 0xff
	for _, value := range [][]byte{packed[:len(packed)/2], damaged, packed[:3], large.Bytes()} {
		_, err := Parse(value)
		c.Check(err, qt.ErrorIs, ErrInvalidDocument)
	}
}
