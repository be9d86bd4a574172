package rattanjson

import (
	"bytes"
	"encoding/json"
	"io"
	"reflect"
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
// to a struct. Keys are matched by exact name; an unknown key is an error that
// names the key and the nearest known one. The errors are ErrSyntax,
// ErrUnknownKey and ErrType, or those of the fields' own UnmarshalText.
func DecodeStrict(data []byte, target any) error {
	if err := checkKeys(data, reflect.TypeOf(target).Elem(), ""); err != nil {
		return errors.Trace(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return describe(data, err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.WithType(errors.New("more than one value"), ErrSyntax)
	}
	return nil
}

func describe(data []byte, err error) error {
	var syntax *json.SyntaxError
	if errors.As(err, &syntax) {
		line, column := position(data, syntax.Offset)
		return errors.WithType(errors.Errorf("line %d, column %d: %v", line, column, syntax), ErrSyntax)
	}
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return errors.WithType(errors.Errorf("%s: want %s, got %s", mismatch.Field, mismatch.Type, mismatch.Value), ErrType)
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.WithType(errors.New("unexpected end"), ErrSyntax)
	}
	return errors.Trace(err)
}

func position(data []byte, offset int64) (line, column int) {
	offset = min(offset, int64(len(data)))
	before := data[:offset]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

// checkKeys walks objects and arrays of data along the type and reports the
// first key that the type does not have, or that stands twice in one object.
func checkKeys(data []byte, typ reflect.Type, path string) error {
	for typ.Kind() == reflect.Pointer {
		typ = typ.Elem()
	}
	trimmed := bytes.TrimSpace(data)
	if len(trimmed) == 0 {
		return nil
	}
	switch {
	case trimmed[0] == '{' && typ.Kind() == reflect.Struct:
		return checkObject(trimmed, path, func(key string) (reflect.Type, error) {
			return fieldType(typ, key, path)
		})
	case trimmed[0] == '{' && typ.Kind() == reflect.Map:
		return checkObject(trimmed, path, func(string) (reflect.Type, error) {
			return typ.Elem(), nil
		})
	case trimmed[0] == '[' && typ.Kind() == reflect.Slice && typ.Elem().Kind() != reflect.Uint8:
		return checkArray(trimmed, typ.Elem(), path)
	}
	return nil
}

func checkObject(data []byte, path string, typeOf func(key string) (reflect.Type, error)) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	if _, err := decoder.Token(); err != nil {
		return describe(data, err)
	}
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return describe(data, err)
		}
		key, _ := token.(string)
		if seen[key] {
			return errors.WithType(errors.Errorf("%s: key stands twice", join(path, key)), ErrSyntax)
		}
		seen[key] = true
		typ, err := typeOf(key)
		if err != nil {
			return err
		}
		var value json.RawMessage
		if err := decoder.Decode(&value); err != nil {
			return describe(data, err)
		}
		if err := checkKeys(value, typ, join(path, key)); err != nil {
			return err
		}
	}
	return nil
}

func checkArray(data []byte, elem reflect.Type, path string) error {
	if elem.Kind() != reflect.Struct {
		return nil
	}
	var values []json.RawMessage
	if err := json.Unmarshal(data, &values); err != nil {
		return describe(data, err)
	}
	for _, value := range values {
		if err := checkKeys(value, elem, path); err != nil {
			return err
		}
	}
	return nil
}

func fieldType(typ reflect.Type, key, path string) (reflect.Type, error) {
	var names []string
	for _, field := range reflect.VisibleFields(typ) {
		if field.Anonymous || !field.IsExported() {
			continue
		}
		if field.Name == key {
			return field.Type, nil
		}
		names = append(names, field.Name)
	}
	message := "%s: no such key"
	if nearest := Nearest(key, names); nearest != "" {
		message += ", did you mean " + nearest + "?"
	}
	return nil, errors.WithType(errors.Errorf(message, join(path, key)), ErrUnknownKey)
}

func join(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}

// Nearest returns the name with the smallest edit distance to key, or "" when
// none is within half of the key's length.
func Nearest(key string, names []string) string {
	best, bestDistance := "", len(key)/2+1
	for _, name := range names {
		distance := editDistance(strings.ToLower(key), strings.ToLower(name))
		if distance < bestDistance {
			best, bestDistance = name, distance
		}
	}
	return best
}

func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := 1; i <= len(a); i++ {
		diagonal := row[0]
		row[0] = i
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			next := min(row[j]+1, row[j-1]+1, diagonal+cost)
			diagonal, row[j] = row[j], next
		}
	}
	return row[len(b)]
}
