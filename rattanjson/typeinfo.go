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

// typeKind selects the way in which a type is decoded.
type typeKind int

const (
	// kindLeaf marks types that encoding/json decodes as a whole.
	kindLeaf typeKind = iota
	kindPointer
	kindStruct
	kindMap
	kindSlice
)

// typeInfo is the information about a type that the decoder uses.
type typeInfo struct {
	kind typeKind
	// fieldIndexes maps field names to field indexes if kind is kindStruct.
	fieldIndexes map[string]int
	fieldNames   []string
}

// typeInfoCache maps each reflect.Type to its *typeInfo. It needs no eviction,
// because the number of types is fixed.
var typeInfoCache sync.Map

func typeInfoOf(typ reflect.Type) *typeInfo {
	if cached, ok := typeInfoCache.Load(typ); ok {
		return cached.(*typeInfo)
	}
	info := &typeInfo{kind: typeKindOf(typ)}
	if info.kind == kindStruct {
		info.fieldIndexes = map[string]int{}
		for i := range typ.NumField() {
			if field := typ.Field(i); isDecodedField(field) {
				info.fieldIndexes[field.Name] = i
				info.fieldNames = append(info.fieldNames, field.Name)
			}
		}
	}
	typeInfoCache.Store(typ, info)
	return info
}

// openingByte returns the first byte of a JSON value of the type.
func (t *typeInfo) openingByte() byte {
	if t.kind == kindSlice {
		return '['
	}
	return '{'
}

func typeKindOf(typ reflect.Type) typeKind {
	pointer := reflect.PointerTo(typ)
	if pointer.Implements(jsonUnmarshalerType) || pointer.Implements(textUnmarshalerType) {
		return kindLeaf
	}
	switch kind := typ.Kind(); {
	case kind == reflect.Struct:
		return kindStruct
	case kind == reflect.Pointer:
		return kindPointer
	case kind == reflect.Map && typ.Key().Kind() == reflect.String:
		return kindMap
	case kind == reflect.Slice && typ.Elem().Kind() != reflect.Uint8:
		return kindSlice
	default:
		return kindLeaf
	}
}

func isDecodedField(field reflect.StructField) bool {
	return field.IsExported() && !field.Anonymous && field.Tag.Get("json") != "-"
}

// describeExpected describes the JSON values that a type accepts, for error
// messages.
func describeExpected(typ reflect.Type) string {
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

// describeActual returns the kind of a JSON value by its first byte.
func describeActual(first byte) string {
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
