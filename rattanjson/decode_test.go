package rattanjson

import (
	"encoding/json"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
)

type sample struct {
	Name    string
	Count   int
	Share   float64
	On      bool
	Wait    Duration
	Raw     json.RawMessage
	Inner   inner
	Pointer *inner
	List    []inner
	Map     map[string]inner
	Numbers map[string]int
}

type inner struct {
	Size  int
	Words []string
}

// TestDecodeStrict guards against values that the decoder loses, or merges
// incorrectly with the values that the target already holds.
func TestDecodeStrict(t *testing.T) {
	c := qt.New(t)
	got := sample{Name: "kept", List: []inner{{Size: 9}}, Inner: inner{Size: 8}}
	err := DecodeStrict([]byte(`{"Count":3,"Share":0.5,"On":true,"Wait":"250ms","Raw":{"a":[1]},
		"Inner":{"Words":["x","y"]},"Pointer":{"Size":4},"List":[{"Size":1},{}],
		"Map":{"a":{"Size":2}},"Numbers":{"n":7}}`), &got)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, sample{
		Name: "kept", Count: 3, Share: 0.5, On: true, Wait: Duration(250 * time.Millisecond),
		Raw: json.RawMessage(`{"a":[1]}`), Inner: inner{Size: 8, Words: []string{"x", "y"}},
		Pointer: &inner{Size: 4}, List: []inner{{Size: 1}, {}},
		Map: map[string]inner{"a": {Size: 2}}, Numbers: map[string]int{"n": 7},
	})
}

// TestDecodeStrictErrors guards against error messages without the position or
// the path of the invalid value.
func TestDecodeStrictErrors(t *testing.T) {
	for _, test := range []struct {
		name, data string
		wantErr    errors.ConstError
		want       string
	}{
		{"empty", ``, ErrSyntax, `line 1, column 1: unexpected end of JSON input`},
		{"truncated", "{\n\"Name\":", ErrSyntax, `line 2, column 8: unexpected end of JSON input`},
		{"two values", `{} {}`, ErrSyntax, `line 1, column 4: invalid character '\{' after top-level value`},
		{"trailing comma", "{\n  \"Count\": 3,\n}", ErrSyntax, `line 3, column 1: invalid character '\}'.*`},
		{"unknown key", "{\n  \"Cuont\": 3}", ErrUnknownKey, `line 2, column 3: Cuont: no such key, did you mean Count\?`},
		{"key in other case", `{"count": 3}`, ErrUnknownKey, `line 1, column 2: count: no such key, did you mean Count\?`},
		{"unknown nested key", `{"List":[{},{"Sizes":1}]}`, ErrUnknownKey, `.*: List\[1\]\.Sizes: no such key, did you mean Size\?`},
		{"unknown key without a similar one", `{"Zyxwvutsr":1}`, ErrUnknownKey, `.*: Zyxwvutsr: no such key`},
		{"duplicate key", `{"Count":3, "Count":3}`, ErrSyntax, `line 1, column 13: Count: key stands twice`},
		{"duplicate key in map", `{"Map":{"a":{},"a":{}}}`, ErrSyntax, `.*: Map\.a: key stands twice`},
		{"not an object", `[]`, ErrWrongType, `line 1, column 1: want an object, got array`},
		{"not a list", `{"List":{}}`, ErrWrongType, `.*: List: want a list, got object`},
		{"not a whole number", `{"Inner":{"Size":1.5}}`, ErrWrongType, `line 1, column 18: Inner\.Size: want a whole number in range, got number 1\.5`},
		{"too large", `{"Count":99999999999999999999}`, ErrWrongType, `.*: Count: want a whole number in range, got number 9+`},
		{"number for text", `{"Name":1}`, ErrWrongType, `.*: Name: want a string, got number`},
		{"number for duration", `{"Wait":250}`, ErrWrongType, `.*: Wait: want a duration such as "250ms", got number`},
		{"text for duration", `{"Wait":"soon"}`, ErrInvalidDuration, `.*column 9: Wait: "soon", want a duration such as "250ms"`},
		{"text for bool", `{"On":"yes"}`, ErrWrongType, `.*: On: want true or false, got string`},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			err := DecodeStrict([]byte(test.data), &sample{})
			c.Assert(err, qt.ErrorMatches, test.want)
			c.Assert(errors.Is(err, test.wantErr), qt.IsTrue, qt.Commentf("%v", err))
		})
	}
}

// FuzzDecodeStrict guards against panics, and against input that DecodeStrict
// accepts but encoding/json rejects or decodes differently.
func FuzzDecodeStrict(f *testing.F) {
	f.Add([]byte(`{"Count":3,"Inner":{"Words":["x"]},"List":[{"Size":1}],"Map":{"a":{}},"Wait":"1s"}`))
	f.Add([]byte(`{"Map":{},"List":[]}`))
	f.Add([]byte(`{"Pointer":null,"List":null,"Raw":[{}],"Numbers":{"":1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var got, want sample
		if DecodeStrict(data, &got) != nil {
			return
		}
		if err := json.Unmarshal(data, &want); err != nil {
			t.Fatalf("DecodeStrict accepted input that encoding/json rejects: %v", err)
		}
		gotJSON, _ := json.Marshal(got)
		wantJSON, _ := json.Marshal(want)
		if string(gotJSON) != string(wantJSON) {
			t.Fatalf("DecodeStrict decoded %s, encoding/json decoded %s", gotJSON, wantJSON)
		}
	})
}

// TestParseEnum guards against accepting a name that no value has, and against
// errors that do not list the valid names.
func TestParseEnum(t *testing.T) {
	c := qt.New(t)
	value, err := ParseEnum([]byte("Sunday"), time.Tuesday)
	c.Assert(err, qt.IsNil)
	c.Assert(value, qt.Equals, time.Sunday)
	_, err = ParseEnum([]byte("Sun"), time.Tuesday)
	c.Assert(errors.Is(err, ErrUnknownName), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, `"Sun", want one of Sunday, Monday`)
}

// TestIsName guards against accepting names that are not valid in a path, a
// label or a URL.
func TestIsName(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"a", "buda-1", "A_b.9", strings.Repeat("x", MaxNameLength)} {
		c.Check(IsName(name), qt.IsTrue, qt.Commentf("%q", name))
	}
	for _, name := range []string{"", "a b", "a/b", "a\n", "é", strings.Repeat("x", MaxNameLength+1)} {
		c.Check(IsName(name), qt.IsFalse, qt.Commentf("%q", name))
	}
}

// TestDuration guards against a duration that changes when it is parsed and
// formatted again.
func TestDuration(t *testing.T) {
	c := qt.New(t)
	for _, text := range []string{"0s", "250ms", "1.5s", "-2h0m0s", "1ns"} {
		var duration Duration
		c.Assert(duration.UnmarshalText([]byte(text)), qt.IsNil)
		c.Check(duration.String(), qt.Equals, text)
		c.Check(duration.Std().String(), qt.Equals, text)
	}
	var duration Duration
	c.Assert(errors.Is(duration.UnmarshalText([]byte("5")), ErrInvalidDuration), qt.IsTrue)
}
