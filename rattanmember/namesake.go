package rattanmember

// maxSettled bounds the addresses that are remembered as settled.
const maxSettled = 16

// NameConflict returns a member of this member's name at another address that was
// learned of while this member joins. No pool is claimed until
// ResolveNameConflict is called, so that a process with a name that is in use can
// still stop without harm. Each address is returned once.
func (t *Table) NameConflict() (Member, bool) {
	address := t.namesake.PeerAddress
	if address == "" || t.settled[address] {
		return Member{}, false
	}
	t.settled[address] = true
	return t.namesake, true
}

// ResolveNameConflict takes in that no process of this member's name answers at the
// address.
func (t *Table) ResolveNameConflict(address string) {
	if t.namesake.PeerAddress == address {
		t.namesake = Member{}
	}
}

// noticeNamesake takes in what is said of an earlier incarnation, or of this
// instance by the instance list. Once this member has joined it is too late: the
// others take the earlier incarnation for ended.
func (t *Table) noticeNamesake(said Member) {
	elsewhere := said.PeerAddress != "" && said.PeerAddress != t.self.PeerAddress
	known := t.settled[said.PeerAddress] || len(t.settled) >= maxSettled || t.namesake.PeerAddress != ""
	if elsewhere && !known && said.Status != StatusDead && t.self.Claim == 0 && !t.joined {
		t.namesake = said
	}
}
