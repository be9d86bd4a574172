package rattaninventory

import (
	"slices"
	"strings"

	"github.com/juju/errors"
)

// Errors of Apply.
const (
	// ErrGap says that the difference starts at another list than the one it is
	// applied to.
	ErrGap = errors.ConstError("difference starts at another list")
	// ErrCorrupt says that the result does not have the hash that the
	// difference promises; the receiver pulls the whole list.
	ErrCorrupt = errors.ConstError("difference leads to another list")
)

// Difference leads from one list to another, for transfer between instances.
type Difference struct {
	// From is the hash of the list that the difference applies to; 0 stands for
	// the empty list, so that Changed is a whole list and applies to any.
	From uint64 `json:",omitempty"`
	To   uint64
	// Changed holds the instances that were added or replaced, sorted by name,
	// and Removed the names of those that are gone, sorted.
	Changed []Instance `json:",omitempty"`
	Removed []string   `json:",omitempty"`
}

// Whole returns the difference that carries a whole list.
func Whole(list List) Difference {
	return Difference{To: list.Hash, Changed: list.Instances}
}

// Between returns the difference that turns one list into another.
func Between(before, after List) Difference {
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

// Apply returns the list that a difference leads to and leaves the old one as
// it is. The errors are ErrGap and ErrCorrupt.
func Apply(old List, difference Difference) (List, error) {
	if difference.From == 0 {
		old = List{}
	}
	if difference.From != old.Hash {
		return List{}, errors.WithType(errors.Errorf("list %x is in use, the difference starts at %x", old.Hash, difference.From), ErrGap)
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
		return List{}, errors.WithType(errors.Errorf("list %x, want %x", list.Hash, difference.To), ErrCorrupt)
	}
	return list, nil
}

// size returns the number of entries.
func (d *Difference) size() int {
	return len(d.Changed) + len(d.Removed)
}

// join returns the difference with the effect of consecutive differences.
func join(steps []Difference) Difference {
	if len(steps) == 1 {
		return steps[0]
	}
	changed := map[string]*Instance{}
	for _, step := range steps {
		for _, name := range step.Removed {
			changed[name] = nil
		}
		for i := range step.Changed {
			changed[step.Changed[i].Name] = &step.Changed[i]
		}
	}
	joined := Difference{From: steps[0].From, To: steps[len(steps)-1].To}
	for name, instance := range changed {
		if instance == nil {
			joined.Removed = append(joined.Removed, name)
		} else {
			joined.Changed = append(joined.Changed, *instance)
		}
	}
	slices.Sort(joined.Removed)
	slices.SortFunc(joined.Changed, func(a, b Instance) int { return strings.Compare(a.Name, b.Name) })
	return joined
}
