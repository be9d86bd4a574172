package rattaninventory

import (
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Errors returned by Apply.
const (
	// ErrWrongBase means that the difference applies to another list than the
	// given one.
	ErrWrongBase = errors.ConstError("difference applies to another list")
	// ErrCorrupt means that the result does not have the hash stated in the
	// difference; the receiver then pulls the whole list.
	ErrCorrupt = errors.ConstError("difference results in another list than stated")
)

// Difference turns one list into another, for transfer between instances.
type Difference struct {
	// From is the hash of the list that the difference applies to; 0 stands for
	// the empty list, in which case Changed is a whole list and applies to any.
	From uint64 `json:",omitempty"`
	// To is the hash of the resulting list.
	To uint64
	// Changed holds the instances that were added or replaced, and Removed the
	// names of those that were removed, both sorted by name.
	Changed []Instance `json:",omitempty"`
	Removed []string   `json:",omitempty"`
}

// WholeDifference returns the difference that contains a whole list.
func WholeDifference(list List) Difference {
	return Difference{To: list.Hash, Changed: list.Instances}
}

// NewDifference returns the difference that turns one list into another.
func NewDifference(before, after List) Difference {
	difference := Difference{From: before.Hash, To: after.Hash}
	old, next := before.Instances, after.Instances
	for len(old) > 0 || len(next) > 0 {
		switch {
		case len(next) == 0 || (len(old) > 0 && old[0].Name < next[0].Name):
			difference.Removed = append(difference.Removed, old[0].Name)
			old = old[1:]
		case len(old) == 0 || next[0].Name < old[0].Name:
			difference.Changed = append(difference.Changed, next[0])
			next = next[1:]
		default:
			if old[0] != next[0] {
				difference.Changed = append(difference.Changed, next[0])
			}
			old, next = old[1:], next[1:]
		}
	}
	return difference
}

// Apply returns the result of applying a difference to a list, which it does
// not modify. The errors are ErrWrongBase and ErrCorrupt.
func Apply(old List, difference Difference) (List, error) {
	if difference.From == 0 {
		old = List{}
	}
	if difference.From != old.Hash {
		return List{}, errors.WithType(errors.Errorf("difference applies to list %x, not to list %x", difference.From, old.Hash), ErrWrongBase)
	}
	if difference.From == difference.To && old.Hash != 0 {
		return old, nil
	}
	changed := make(map[string]bool, len(difference.Changed)+len(difference.Removed))
	for _, name := range difference.Removed {
		changed[name] = true
	}
	for i := range difference.Changed {
		changed[difference.Changed[i].Name] = true
	}
	instances := make([]Instance, 0, len(old.Instances)+len(difference.Changed))
	for i := range old.Instances {
		if !changed[old.Instances[i].Name] {
			instances = append(instances, old.Instances[i])
		}
	}
	instances = append(instances, difference.Changed...)
	slices.SortStableFunc(instances, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	list := newSortedList(instances)
	if list.Hash != difference.To {
		return List{}, errors.WithType(errors.Errorf("difference results in list %x, want %x", list.Hash, difference.To), ErrCorrupt)
	}
	return list, nil
}

// entryCount returns the number of entries.
func (d *Difference) entryCount() int {
	return len(d.Changed) + len(d.Removed)
}

// mergeDifferences merges consecutive differences into one.
func mergeDifferences(differences []Difference) Difference {
	if len(differences) == 1 {
		return differences[0]
	}
	changed := map[string]*Instance{}
	for _, difference := range differences {
		for _, name := range difference.Removed {
			changed[name] = nil
		}
		for i := range difference.Changed {
			changed[difference.Changed[i].Name] = &difference.Changed[i]
		}
	}
	merged := Difference{From: differences[0].From, To: differences[len(differences)-1].To}
	for name, instance := range changed {
		if instance == nil {
			merged.Removed = append(merged.Removed, name)
		} else {
			merged.Changed = append(merged.Changed, *instance)
		}
	}
	slices.Sort(merged.Removed)
	slices.SortFunc(merged.Changed, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	return merged
}
