package rattanspread

import "time"

// Pulls decides when a member pulls a change from a peer that has it. A member
// makes one pull at a time, so that many peers that have the same change do not
// send it to the member at once. The zero value is ready for use.
type Pulls struct {
	running bool
}

// Offer takes in that the peer at the address has a change, and reports whether
// to pull it from there now. Each pull that is begun has to be ended.
func (p *Pulls) Offer(_ time.Time, _ string) bool {
	begin := !p.running
	p.running = true
	return begin
}

// Ended takes in that a pull has ended. It returns the address of a peer to
// pull from next, if the change is still missing; "" means none.
func (p *Pulls) Ended(_ time.Time, _ bool) string {
	p.running = false
	return ""
}
