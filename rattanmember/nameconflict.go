package rattanmember

// maxReturnedConflicts bounds the addresses that are remembered as returned.
const maxReturnedConflicts = 16

// NameConflict returns another member with the name of this one but another
// address, if one was reported while this member joins. No pool is claimed
// until ResolveNameConflict is called, so that a process started with a name in
// use can still stop without harm. Each address is returned once.
func (t *Table) NameConflict() (Member, bool) {
	address := t.nameConflict.PeerAddress
	if address == "" || t.returnedConflicts[address] {
		return Member{}, false
	}
	t.returnedConflicts[address] = true
	return t.nameConflict, true
}

// ResolveNameConflict records that no process with this member's name answers
// at the address.
func (t *Table) ResolveNameConflict(address string) {
	if t.nameConflict.PeerAddress == address {
		t.nameConflict = Member{}
	}
}

// detectNameConflict checks a report of an earlier incarnation, or an entry of
// the instance list for this instance, for another address. It does nothing
// once this member has joined: by then the others consider the earlier
// incarnation ended.
func (t *Table) detectNameConflict(reported Member) {
	otherAddress := reported.PeerAddress != "" && reported.PeerAddress != t.self.PeerAddress
	handled := t.returnedConflicts[reported.PeerAddress] || len(t.returnedConflicts) >= maxReturnedConflicts || t.nameConflict.PeerAddress != ""
	if otherAddress && !handled && reported.Status != StatusDead && t.self.Claim == 0 && !t.joined {
		t.nameConflict = reported
	}
}
