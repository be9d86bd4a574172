package rattanjson

import (
	"bytes"
	"encoding/json"
	"reflect"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Errors of DecodeStrict.
const (
	ErrSyntax     = errors.ConstError("malformed JSON")
	ErrUnknownKey = errors.ConstError("unknown key")
	ErrType       = errors.ConstError("wrong type")
)

// DecodeStrict decodes exactly one JSON value from data into target, a pointer
// to a struct. Keys are matched by exact name, and values that data does not
// have keep what target holds. The errors are ErrSyntax (also for a key that
// stands twice), ErrUnknownKey with the nearest known key, ErrType, or those
// of the fields' own UnmarshalText. Each error has the line and the column,
// and the path of the key at fault.
func DecodeStrict(data []byte, target any) error {
	if !json.Valid(data) {
		return syntaxError(data)
	}
	strict := strictDecoder{data: data}
	return strict.value(reflect.ValueOf(target).Elem(), path{})
}

// strictDecoder walks data that is known to be valid JSON.
type strictDecoder struct {
	data []byte
	// offset is that of the next byte.
	offset int
}

// value decodes the next value into target.
func (d *strictDecoder) value(target reflect.Value, at path) error {
	d.skipSpace()
	shape := shapeOf(target.Type())
	switch {
	case shape.form == formLeaf:
		return d.leaf(target, at)
	case d.data[d.offset] == 'n':
		// As in encoding/json, null empties a pointer, list or map.
		d.literal()
		if shape.form != formObject {
			target.SetZero()
		}
		return nil
	case shape.form == formPointer:
		if target.IsNil() {
			target.Set(reflect.New(target.Type().Elem()))
		}
		return d.value(target.Elem(), at)
	case d.data[d.offset] != shape.opening():
		return d.fault(d.offset, at, ErrType, "want "+want(target.Type())+", got "+got(d.data[d.offset]))
	}
	d.offset++
	switch shape.form {
	case formList:
		return d.list(target, at)
	case formMap:
		return d.entries(target, at)
	default:
		return d.members(target, shape, at)
	}
}

func (d *strictDecoder) leaf(target reflect.Value, at path) error {
	offset := d.offset
	text := d.literal()
	if target.Type() == rawMessageType {
		target.SetBytes(bytes.Clone(text))
		return nil
	}
	err := json.Unmarshal(text, target.Addr().Interface())
	if err == nil {
		return nil
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return d.fault(offset, at, ErrType, "want "+want(target.Type())+", got "+mismatch.Value)
	}
	return errors.Annotatef(err, "%s: %v", place(d.data, offset), at)
}

func (d *strictDecoder) list(target reflect.Value, at path) error {
	// A new list leaves the elements of a default untouched.
	target.Set(reflect.MakeSlice(target.Type(), 0, 0))
	for i := 0; d.more(']'); i++ {
		target.Grow(1)
		target.SetLen(i + 1)
		target.Index(i).SetZero()
		if err := d.value(target.Index(i), path{parent: &at, index: i, element: true}); err != nil {
			return err
		}
	}
	return nil
}

func (d *strictDecoder) members(target reflect.Value, shape *shape, at path) error {
	var backing [16]string
	seen := backing[:0]
	for d.more('}') {
		offset := d.offset
		key := d.key()
		index, ok := shape.members[key]
		if !ok {
			return d.unknownKey(offset, shape, path{parent: &at, key: key})
		}
		if slices.Contains(seen, key) {
			return d.fault(offset, path{parent: &at, key: key}, ErrSyntax, "key stands twice")
		}
		seen = append(seen, key)
		if err := d.value(target.Field(index), path{parent: &at, key: key}); err != nil {
			return err
		}
	}
	return nil
}

func (d *strictDecoder) entries(target reflect.Value, at path) error {
	if target.IsNil() {
		target.Set(reflect.MakeMap(target.Type()))
	}
	seen := map[string]bool{}
	for d.more('}') {
		offset := d.offset
		key := d.key()
		if seen[key] {
			return d.fault(offset, path{parent: &at, key: key}, ErrSyntax, "key stands twice")
		}
		seen[key] = true
		entry := reflect.New(target.Type().Elem()).Elem()
		if err := d.value(entry, path{parent: &at, key: key}); err != nil {
			return err
		}
		target.SetMapIndex(reflect.ValueOf(key).Convert(target.Type().Key()), entry)
	}
	return nil
}

// more moves to the next member of a list or an object, or behind the closing
// byte.
func (d *strictDecoder) more(closing byte) bool {
	d.skipSpace()
	if d.data[d.offset] == closing {
		d.offset++
		return false
	}
	if d.data[d.offset] == ',' {
		d.offset++
		d.skipSpace()
	}
	return true
}

// key reads a key and the colon behind it.
func (d *strictDecoder) key() string {
	literal := d.literal()
	d.skipSpace()
	d.offset++
	var key string
	// A literal of valid JSON decodes.
	_ = json.Unmarshal(literal, &key)
	return key
}

// literal reads the next value as it stands.
func (d *strictDecoder) literal() []byte {
	start, depth := d.offset, 0
	for d.offset < len(d.data) {
		switch d.data[d.offset] {
		case '"':
			d.skipString()
		case '{', '[':
			depth++
			d.offset++
		case '}', ']':
			if depth == 0 {
				return d.data[start:d.offset]
			}
			depth--
			d.offset++
		case ',', ':', ' ', '\t', '\r', '\n':
			if depth == 0 {
				return d.data[start:d.offset]
			}
			d.offset++
			continue
		default:
			d.offset++
			continue
		}
		if depth == 0 {
			break
		}
	}
	return d.data[start:d.offset]
}

func (d *strictDecoder) skipString() {
	for d.offset++; d.data[d.offset] != '"'; d.offset++ {
		if d.data[d.offset] == '\\' {
			d.offset++
		}
	}
	d.offset++
}

func (d *strictDecoder) skipSpace() {
	for d.offset < len(d.data) {
		switch d.data[d.offset] {
		case ' ', '\t', '\r', '\n':
			d.offset++
		default:
			return
		}
	}
}

func (d *strictDecoder) unknownKey(offset int, shape *shape, at path) error {
	message := "no such key"
	if nearest := Nearest(at.key, shape.names); nearest != "" {
		message += ", did you mean " + nearest + "?"
	}
	return d.fault(offset, at, ErrUnknownKey, message)
}

func (d *strictDecoder) fault(offset int, at path, kind errors.ConstError, message string) error {
	text := place(d.data, offset)
	if name := at.String(); name != "" {
		text += ": " + name
	}
	return errors.WithType(errors.Errorf("%s: %s", text, message), kind)
}

// path is the place of a value; its text is made only for an error.
type path struct {
	parent *path
	key    string
	// index is that of an element of a list.
	index   int
	element bool
}

// String returns the path such as Peers[1].Name; it is empty for the root.
func (p path) String() string {
	switch {
	case p.parent == nil:
		return ""
	case p.element:
		return p.parent.String() + "[" + strconv.Itoa(p.index) + "]"
	}
	if prefix := p.parent.String(); prefix != "" {
		return prefix + "." + p.key
	}
	return p.key
}

func syntaxError(data []byte) error {
	var value json.RawMessage
	err := json.Unmarshal(data, &value)
	offset := len(data)
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) && !strings.HasPrefix(syntax.Error(), "unexpected end") {
		// The offset counts the bytes up to and including the one at fault.
		offset = max(int(syntax.Offset)-1, 0)
	}
	return errors.WithType(errors.Errorf("%s: %v", place(data, offset), err), ErrSyntax)
}

// place names the line and the column of the byte at the offset.
func place(data []byte, offset int) string {
	before := data[:min(offset, len(data))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return "line " + strconv.Itoa(line) + ", column " + strconv.Itoa(column)
}
