package rattanjson

import (
	"encoding"
	"encoding/json"
	"reflect"
	"sync"
)

var (
	durationType        = reflect.TypeFor[Duration]()
	rawMessageType      = reflect.TypeFor[json.RawMessage]()
	jsonUnmarshalerType = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshalerType = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// form is how a type is decoded.
type form int

const (
	// formLeaf is decoded as a whole by encoding/json.
	formLeaf form = iota
	formPointer
	formObject
	formMap
	formList
)

// shape is what the decoder needs to know of a type.
type shape struct {
	form form
	// members has the index of each field of a formObject, by name.
	members map[string]int
	names   []string
}

// shapes caches the shapes by reflect.Type; the number of types is fixed.
var shapes sync.Map

func shapeOf(typ reflect.Type) *shape {
	if held, ok := shapes.Load(typ); ok {
		return held.(*shape)
	}
	made := &shape{form: formOf(typ)}
	if made.form == formObject {
		made.members = map[string]int{}
		for i := range typ.NumField() {
			if field := typ.Field(i); isMember(field) {
				made.members[field.Name] = i
				made.names = append(made.names, field.Name)
			}
		}
	}
	shapes.Store(typ, made)
	return made
}

// opening returns the byte that a value of the shape begins with.
func (s *shape) opening() byte {
	if s.form == formList {
		return '['
	}
	return '{'
}

func formOf(typ reflect.Type) form {
	pointer := reflect.PointerTo(typ)
	if pointer.Implements(jsonUnmarshalerType) || pointer.Implements(textUnmarshalerType) {
		return formLeaf
	}
	switch kind := typ.Kind(); {
	case kind == reflect.Struct:
		return formObject
	case kind == reflect.Pointer:
		return formPointer
	case kind == reflect.Map && typ.Key().Kind() == reflect.String:
		return formMap
	case kind == reflect.Slice && typ.Elem().Kind() != reflect.Uint8:
		return formList
	default:
		return formLeaf
	}
}

func isMember(field reflect.StructField) bool {
	return field.IsExported() && !field.Anonymous && field.Tag.Get("json") != "-"
}

// want says in a few words what a type accepts.
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

// got names the kind of the JSON value that begins with the byte.
func got(first byte) string {
	switch first {
	case '{':
		return "object"
	case '[':
		return "array"
	case '"':
		return "string"
	case 't', 'f':
		return "bool"
	default:
		return "number"
	}
}
