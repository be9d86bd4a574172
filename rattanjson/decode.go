package rattanjson

import (
	"bytes"
	"encoding"
	"encoding/json"
	"reflect"
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

var (
	durationType        = reflect.TypeFor[Duration]()
	jsonUnmarshalerType = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
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
	strict := strictDecoder{data: data, decoder: json.NewDecoder(bytes.NewReader(data))}
	return strict.value(reflect.ValueOf(target).Elem(), "")
}

// strictDecoder decodes data that is known to be valid JSON.
type strictDecoder struct {
	data    []byte
	decoder *json.Decoder
}

func (d *strictDecoder) value(target reflect.Value, path string) error {
	if isLeaf(target.Type()) {
		return d.leaf(target, path)
	}
	if target.Kind() == reflect.Pointer {
		if d.isNull() {
			return d.decoder.Decode(target.Addr().Interface())
		}
		if target.IsNil() {
			target.Set(reflect.New(target.Type().Elem()))
		}
		return d.value(target.Elem(), path)
	}
	offset := d.decoder.InputOffset()
	token, err := d.decoder.Token()
	if err != nil {
		return errors.Trace(err)
	}
	wanted := json.Delim('{')
	if target.Kind() == reflect.Slice {
		wanted = '['
	}
	switch {
	case token == nil:
		return nil
	case token != wanted:
		return d.fault(offset, path, ErrType, "want "+want(target.Type())+", got "+got(token))
	case target.Kind() == reflect.Slice:
		return d.list(target, path)
	default:
		return d.object(target, path)
	}
}

func (d *strictDecoder) leaf(target reflect.Value, path string) error {
	offset := d.decoder.InputOffset()
	err := d.decoder.Decode(target.Addr().Interface())
	if err == nil {
		return nil
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return d.fault(offset, path, ErrType, "want "+want(target.Type())+", got "+mismatch.Value)
	}
	return errors.Annotatef(err, "%s: %s", d.place(offset), path)
}

func (d *strictDecoder) list(target reflect.Value, path string) error {
	target.Set(reflect.MakeSlice(target.Type(), 0, 0))
	for i := 0; d.decoder.More(); i++ {
		element := reflect.New(target.Type().Elem()).Elem()
		if err := d.value(element, path+"["+strconv.Itoa(i)+"]"); err != nil {
			return err
		}
		target.Set(reflect.Append(target, element))
	}
	_, err := d.decoder.Token()
	return errors.Trace(err)
}

func (d *strictDecoder) object(target reflect.Value, path string) error {
	if target.Kind() == reflect.Map && target.IsNil() {
		target.Set(reflect.MakeMap(target.Type()))
	}
	seen := map[string]bool{}
	for d.decoder.More() {
		offset := d.decoder.InputOffset()
		token, err := d.decoder.Token()
		if err != nil {
			return errors.Trace(err)
		}
		key, _ := token.(string)
		if seen[key] {
			return d.fault(offset, join(path, key), ErrSyntax, "key stands twice")
		}
		seen[key] = true
		if err := d.member(target, path, key, offset); err != nil {
			return err
		}
	}
	_, err := d.decoder.Token()
	return errors.Trace(err)
}

// member decodes the value of the key, whose own text starts at the offset.
func (d *strictDecoder) member(target reflect.Value, path, key string, offset int64) error {
	if target.Kind() == reflect.Map {
		return d.entry(target, path, key)
	}
	field, ok := target.Type().FieldByName(key)
	if ok && isMember(field) {
		return d.value(target.FieldByIndex(field.Index), join(path, key))
	}
	message := "no such key"
	if nearest := Nearest(key, memberNames(target.Type())); nearest != "" {
		message += ", did you mean " + nearest + "?"
	}
	return d.fault(offset, join(path, key), ErrUnknownKey, message)
}

func (d *strictDecoder) entry(target reflect.Value, path, key string) error {
	entry := reflect.New(target.Type().Elem()).Elem()
	if err := d.value(entry, join(path, key)); err != nil {
		return err
	}
	target.SetMapIndex(reflect.ValueOf(key).Convert(target.Type().Key()), entry)
	return nil
}

func (d *strictDecoder) fault(offset int64, path string, kind errors.ConstError, message string) error {
	place := d.place(offset)
	if path != "" {
		place += ": " + path
	}
	return errors.WithType(errors.Errorf("%s: %s", place, message), kind)
}

// isNull reports whether the next token is null.
func (d *strictDecoder) isNull() bool {
	return bytes.HasPrefix(d.data[d.skip(d.decoder.InputOffset()):], []byte("null"))
}

// place names the line and the column of the first token after the offset.
func (d *strictDecoder) place(offset int64) string {
	return place(d.data, d.skip(offset))
}

// skip returns the offset of the first token at or after the offset.
func (d *strictDecoder) skip(offset int64) int64 {
	rest := d.data[offset:]
	return offset + int64(len(rest)-len(bytes.TrimLeft(rest, " \t\r\n,:")))
}

func syntaxError(data []byte) error {
	var value json.RawMessage
	err := json.Unmarshal(data, &value)
	offset := int64(len(data))
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) && !strings.HasPrefix(syntax.Error(), "unexpected end") {
		// The offset counts the bytes up to and including the one at fault.
		offset = max(syntax.Offset-1, 0)
	}
	return errors.WithType(errors.Errorf("%s: %v", place(data, offset), err), ErrSyntax)
}

func place(data []byte, offset int64) string {
	before := data[:min(offset, int64(len(data)))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return "line " + strconv.Itoa(line) + ", column " + strconv.Itoa(column)
}

// isLeaf reports whether encoding/json decodes values of the type as a whole.
func isLeaf(typ reflect.Type) bool {
	pointer := reflect.PointerTo(typ)
	if pointer.Implements(jsonUnmarshalerType) || pointer.Implements(textUnmarshalerType) {
		return true
	}
	switch typ.Kind() {
	case reflect.Struct, reflect.Pointer:
		return false
	case reflect.Map:
		return typ.Key().Kind() != reflect.String
	case reflect.Slice:
		return typ.Elem().Kind() == reflect.Uint8
	default:
		return true
	}
}

func isMember(field reflect.StructField) bool {
	return field.IsExported() && !field.Anonymous && field.Tag.Get("json") != "-"
}

func memberNames(typ reflect.Type) []string {
	var names []string
	for _, field := range reflect.VisibleFields(typ) {
		if isMember(field) {
			names = append(names, field.Name)
		}
	}
	return names
}

func want(typ reflect.Type) string {
	if typ == durationType {
		return `a duration such as "250ms"`
	}
	if reflect.PointerTo(typ).Implements(textUnmarshalerType) {
		return "a string"
	}
	switch typ.Kind() {
	case reflect.Struct, reflect.Map:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.Bool:
		return "true or false"
	case reflect.Float32, reflect.Float64:
		return "a number"
	case reflect.String:
		return "a string"
	default:
		return "a whole number in range"
	}
}

func got(token json.Token) string {
	switch token {
	case json.Delim('{'):
		return "object"
	case json.Delim('['):
		return "array"
	}
	switch token.(type) {
	case string:
		return "string"
	case bool:
		return "bool"
	default:
		return "number"
	}
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
