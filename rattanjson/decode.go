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
	ErrWrongType  = errors.ConstError("wrong type")
)

// DecodeStrict decodes exactly one JSON value from data into target, a pointer
// to a struct. Keys are case-sensitive, and fields that are absent from data
// keep their values. It returns ErrSyntax for malformed JSON and duplicate keys,
// ErrUnknownKey with the most similar known key, ErrWrongType, or the error of a
// field's UnmarshalText method. The message of each error has the line, the
// column and the path of the invalid key.
func DecodeStrict(data []byte, target any) error {
	if !json.Valid(data) {
		return syntaxError(data)
	}
	decoder := strictDecoder{data: data}
	return decoder.decodeValue(reflect.ValueOf(target).Elem(), valuePath{})
}

// strictDecoder traverses data that has been validated as JSON.
type strictDecoder struct {
	data []byte
	// offset is the position of the next unread byte.
	offset int
}

// decodeValue decodes the next value into target.
func (d *strictDecoder) decodeValue(target reflect.Value, path valuePath) error {
	d.skipSpace()
	info := typeInfoOf(target.Type())
	switch {
	case info.kind == kindLeaf:
		return d.decodeLeaf(target, path)
	case d.data[d.offset] == 'n':
		// As in encoding/json, null sets a pointer, slice or map to nil.
		d.readRawValue()
		if info.kind != kindStruct {
			target.SetZero()
		}
		return nil
	case info.kind == kindPointer:
		if target.IsNil() {
			target.Set(reflect.New(target.Type().Elem()))
		}
		return d.decodeValue(target.Elem(), path)
	case d.data[d.offset] != info.openingByte():
		return d.errorAt(d.offset, path, ErrWrongType, "want "+describeExpected(target.Type())+", got "+describeActual(d.data[d.offset]))
	}
	d.offset++
	switch info.kind {
	case kindSlice:
		return d.decodeList(target, path)
	case kindMap:
		return d.decodeMap(target, path)
	default:
		return d.decodeStruct(target, info, path)
	}
}

// decodeLeaf decodes a value that encoding/json handles as a whole.
func (d *strictDecoder) decodeLeaf(target reflect.Value, path valuePath) error {
	offset := d.offset
	raw := d.readRawValue()
	if target.Type() == rawMessageType {
		target.SetBytes(bytes.Clone(raw))
		return nil
	}
	err := json.Unmarshal(raw, target.Addr().Interface())
	if err == nil {
		return nil
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return d.errorAt(offset, path, ErrWrongType, "want "+describeExpected(target.Type())+", got "+mismatch.Value)
	}
	return errors.Annotatef(err, "%s: %v", lineAndColumn(d.data, offset), path)
}

func (d *strictDecoder) decodeList(target reflect.Value, path valuePath) error {
	// A new slice is allocated so that the elements of a default value are not
	// overwritten.
	target.Set(reflect.MakeSlice(target.Type(), 0, 0))
	for i := 0; d.nextElement(']'); i++ {
		target.Grow(1)
		target.SetLen(i + 1)
		target.Index(i).SetZero()
		if err := d.decodeValue(target.Index(i), valuePath{parent: &path, index: i, isElement: true}); err != nil {
			return err
		}
	}
	return nil
}

func (d *strictDecoder) decodeStruct(target reflect.Value, info *typeInfo, path valuePath) error {
	var buffer [16]string
	seen := buffer[:0]
	for d.nextElement('}') {
		offset := d.offset
		key := d.readKey()
		index, ok := info.fieldIndexes[key]
		if !ok {
			return d.unknownKeyError(offset, info, valuePath{parent: &path, key: key})
		}
		if slices.Contains(seen, key) {
			return d.errorAt(offset, valuePath{parent: &path, key: key}, ErrSyntax, "key stands twice")
		}
		seen = append(seen, key)
		if err := d.decodeValue(target.Field(index), valuePath{parent: &path, key: key}); err != nil {
			return err
		}
	}
	return nil
}

func (d *strictDecoder) decodeMap(target reflect.Value, path valuePath) error {
	if target.IsNil() {
		target.Set(reflect.MakeMap(target.Type()))
	}
	seen := map[string]bool{}
	for d.nextElement('}') {
		offset := d.offset
		key := d.readKey()
		if seen[key] {
			return d.errorAt(offset, valuePath{parent: &path, key: key}, ErrSyntax, "key stands twice")
		}
		seen[key] = true
		entry := reflect.New(target.Type().Elem()).Elem()
		if err := d.decodeValue(entry, valuePath{parent: &path, key: key}); err != nil {
			return err
		}
		target.SetMapIndex(reflect.ValueOf(key).Convert(target.Type().Key()), entry)
	}
	return nil
}

// nextElement advances to the next element of an array or object and reports
// whether there is one. At the end it consumes the closing byte.
func (d *strictDecoder) nextElement(closing byte) bool {
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

// readKey reads an object key and the colon that follows it.
func (d *strictDecoder) readKey() string {
	raw := d.readRawValue()
	d.skipSpace()
	d.offset++
	var key string
	// A key in validated JSON is a valid string, so decoding cannot fail.
	_ = json.Unmarshal(raw, &key)
	return key
}

// readRawValue reads the next value without decoding it.
func (d *strictDecoder) readRawValue() []byte {
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

func (d *strictDecoder) unknownKeyError(offset int, info *typeInfo, path valuePath) error {
	message := "no such key"
	if nearest := Nearest(path.key, info.fieldNames); nearest != "" {
		message += ", did you mean " + nearest + "?"
	}
	return d.errorAt(offset, path, ErrUnknownKey, message)
}

// errorAt returns an error of the given type that starts with the line, the
// column and the path of the value.
func (d *strictDecoder) errorAt(offset int, path valuePath, errType errors.ConstError, message string) error {
	location := lineAndColumn(d.data, offset)
	if keyPath := path.String(); keyPath != "" {
		location += ": " + keyPath
	}
	return errors.WithType(errors.Errorf("%s: %s", location, message), errType)
}

// valuePath locates a value in a JSON document. It is formatted only for error
// messages.
type valuePath struct {
	parent *valuePath
	key    string
	// index is the position in the parent array if isElement is true.
	index     int
	isElement bool
}

// String returns a path such as Peers[1].Name. It is empty for the root.
func (p valuePath) String() string {
	switch {
	case p.parent == nil:
		return ""
	case p.isElement:
		return p.parent.String() + "[" + strconv.Itoa(p.index) + "]"
	}
	if prefix := p.parent.String(); prefix != "" {
		return prefix + "." + p.key
	}
	return p.key
}

func syntaxError(data []byte) error {
	var raw json.RawMessage
	err := json.Unmarshal(data, &raw)
	offset := len(data)
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) && !strings.HasPrefix(syntaxErr.Error(), "unexpected end") {
		// SyntaxError.Offset counts the bytes read, including the invalid one.
		offset = max(int(syntaxErr.Offset)-1, 0)
	}
	return errors.WithType(errors.Errorf("%s: %v", lineAndColumn(data, offset), err), ErrSyntax)
}

// lineAndColumn formats the position of the byte at offset as a line and a
// column, both counted from 1.
func lineAndColumn(data []byte, offset int) string {
	preceding := data[:min(offset, len(data))]
	line := bytes.Count(preceding, []byte("\n")) + 1
	column := len(preceding) - bytes.LastIndexByte(preceding, '\n')
	return "line " + strconv.Itoa(line) + ", column " + strconv.Itoa(column)
}
