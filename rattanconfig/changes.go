package rattanconfig

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/rattanlever/rattanlever/rattanjson"
)

//go:generate go tool stringer -type=Action -trimprefix=Action

// Action is the kind of a change to an entry or field.
type Action int

// Kinds of changes.
const (
	ActionAdd Action = iota
	ActionReplace
	ActionRemove
	actionCount
)

// MarshalText returns the name of the action.
func (a Action) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// UnmarshalText parses the name of an action.
func (a *Action) UnmarshalText(text []byte) (err error) {
	*a, err = rattanjson.ParseEnum(text, actionCount)
	return err
}

// Change is a difference between two documents.
type Change struct {
	Action Action
	// Path is Section.Name for an entry and Section.Name.Field for a field.
	Path string
	// Old and New are JSON values. Old is empty for ActionAdd, and New is empty
	// for ActionRemove.
	Old json.RawMessage `json:",omitempty"`
	New json.RawMessage `json:",omitempty"`
}

// String returns a human-readable description of the change in one line.
func (c Change) String() string {
	switch c.Action {
	case ActionAdd:
		return c.Path + ": added " + string(c.New)
	case ActionRemove:
		return c.Path + ": removed " + string(c.Old)
	default:
		return c.Path + ": " + string(c.Old) + " replaced by " + string(c.New)
	}
}

// Changes returns the differences between two documents, sorted by section and
// name. It ignores Revision and RequestID.
func Changes(before, after Document) []Change {
	var changes []Change
	beforeValue, afterValue := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range beforeValue.NumField() {
		if beforeValue.Field(i).Kind() != reflect.Map {
			continue
		}
		section := beforeValue.Type().Field(i).Name
		changes = appendSection(changes, section, beforeValue.Field(i), afterValue.Field(i))
	}
	return changes
}

// Describe returns a human-readable description of the changes, one per line.
func Describe(changes []Change) string {
	lines := make([]string, 0, len(changes))
	for _, change := range changes {
		lines = append(lines, change.String())
	}
	return strings.Join(lines, "\n")
}

func appendSection(changes []Change, section string, before, after reflect.Value) []Change {
	names := map[string]bool{}
	for _, entries := range []reflect.Value{before, after} {
		for _, name := range entries.MapKeys() {
			names[name.String()] = true
		}
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		key := reflect.ValueOf(name)
		changes = appendEntry(changes, section+"."+name, before.MapIndex(key), after.MapIndex(key))
	}
	return changes
}

// appendEntry appends the differences between two entries. A missing entry is
// passed as the zero reflect.Value.
func appendEntry(changes []Change, path string, before, after reflect.Value) []Change {
	switch {
	case !before.IsValid():
		return append(changes, Change{Action: ActionAdd, Path: path, New: encodeValue(after)})
	case !after.IsValid():
		return append(changes, Change{Action: ActionRemove, Path: path, Old: encodeValue(before)})
	}
	for i := range before.NumField() {
		if before.Field(i).Equal(after.Field(i)) {
			continue
		}
		changes = append(changes, Change{
			Action: ActionReplace,
			Path:   path + "." + before.Type().Field(i).Name,
			Old:    encodeValue(before.Field(i)),
			New:    encodeValue(after.Field(i)),
		})
	}
	return changes
}

func encodeValue(value reflect.Value) json.RawMessage {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	// Entries contain only strings, numbers, booleans and durations. These can
	// always be encoded if the document has passed Check.
	_ = encoder.Encode(value.Interface())
	return bytes.TrimSpace(buffer.Bytes())
}
