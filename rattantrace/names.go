package rattantrace

// overflowName replaces names that do not fit into the table.
const overflowName = "(other)"

// nameTable interns names as small integer IDs, so that events need no
// pointers. ID 0 is the empty name and ID 1 is overflowName.
type nameTable struct {
	limit   int
	names   []string
	ids     map[string]uint32
	freeIDs []uint32
}

func newNameTable(limit int) nameTable {
	table := nameTable{limit: max(limit, 2), names: []string{"", overflowName}}
	table.ids = map[string]uint32{"": 0, overflowName: 1}
	return table
}

// intern returns the ID of a name. If the table is full, it returns the ID of
// overflowName and false.
func (t *nameTable) intern(name string) (uint32, bool) {
	if id, ok := t.ids[name]; ok {
		return id, true
	}
	if last := len(t.freeIDs) - 1; last >= 0 {
		id := t.freeIDs[last]
		t.freeIDs = t.freeIDs[:last]
		t.names[id] = name
		t.ids[name] = id
		return id, true
	}
	if len(t.names) >= t.limit {
		return 1, false
	}
	id := uint32(len(t.names))
	t.names = append(t.names, name)
	t.ids[name] = id
	return id, true
}

// releaseUnused removes the names whose IDs are not marked in used, and makes
// these IDs available for other names.
func (t *nameTable) releaseUnused(used []bool) {
	t.freeIDs = t.freeIDs[:0]
	for id := 2; id < len(t.names); id++ {
		if used[id] {
			continue
		}
		delete(t.ids, t.names[id])
		t.names[id] = ""
		t.freeIDs = append(t.freeIDs, uint32(id))
	}
}
