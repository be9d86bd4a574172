package rattantrace

// unknownName stands for names beyond the limit of the table.
const unknownName = "(other)"

// nameTable gives names small numbers, so that events need no pointers. Number
// 0 is the empty name and number 1 is unknownName.
type nameTable struct {
	limit   int
	names   []string
	numbers map[string]uint32
	free    []uint32
}

func newNameTable(limit int) nameTable {
	table := nameTable{limit: max(limit, 2), names: []string{"", unknownName}}
	table.numbers = map[string]uint32{"": 0, unknownName: 1}
	return table
}

// number returns the number of a name. It reports false when the table is full.
func (t *nameTable) number(name string) (uint32, bool) {
	if number, ok := t.numbers[name]; ok {
		return number, true
	}
	if last := len(t.free) - 1; last >= 0 {
		number := t.free[last]
		t.free = t.free[:last]
		t.names[number] = name
		t.numbers[name] = number
		return number, true
	}
	if len(t.names) >= t.limit {
		return 1, false
	}
	number := uint32(len(t.names))
	t.names = append(t.names, name)
	t.numbers[name] = number
	return number, true
}

// keep frees the numbers that are not used.
func (t *nameTable) keep(used []bool) {
	t.free = t.free[:0]
	for number := 2; number < len(t.names); number++ {
		if used[number] {
			continue
		}
		delete(t.numbers, t.names[number])
		t.names[number] = ""
		t.free = append(t.free, uint32(number))
	}
}
