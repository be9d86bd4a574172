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

// Action is what a change does to an entry or a field.
type Action int

// The actions of changes.
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

// Change is one difference between two documents.
type Change struct {
	Action Action
	// Path is Section.Name for an entry and Section.Name.Field for a field.
	Path string
	// Old and New are JSON values; Old is empty for ActionAdd and New for
	// ActionRemove.
	Old json.RawMessage `json:",omitempty"`
	New json.RawMessage `json:",omitempty"`
}

// String returns the change as one line for people.
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
// name. Revision and RequestID are not compared.
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

// Describe returns the changes as text, one line each.
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

// appendEntry takes the zero reflect.Value for an entry that does not exist.
func appendEntry(changes []Change, path string, before, after reflect.Value) []Change {
	switch {
	case !before.IsValid():
		return append(changes, Change{Action: ActionAdd, Path: path, New: encode(after)})
	case !after.IsValid():
		return append(changes, Change{Action: ActionRemove, Path: path, Old: encode(before)})
	}
	for i := range before.NumField() {
		if before.Field(i).Equal(after.Field(i)) {
			continue
		}
		changes = append(changes, Change{
			Action: ActionReplace,
			Path:   path + "." + before.Type().Field(i).Name,
			Old:    encode(before.Field(i)),
			New:    encode(after.Field(i)),
		})
	}
	return changes
}

func encode(value reflect.Value) json.RawMessage {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	// Entries hold only text, numbers, flags and durations, which always
	// encode once the document has passed Check.
	_ = encoder.Encode(value.Interface())
	return bytes.TrimSpace(buffer.Bytes())
}
