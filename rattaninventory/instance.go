package rattaninventory

import "github.com/rattanlever/rattanlever/rattanjson"

//go:generate go tool stringer -type=Role -trimprefix=Role
//go:generate go tool stringer -type=State -trimprefix=State

// Role is the function of an instance.
type Role int

// The roles of instances.
const (
	RoleEntry Role = iota
	RoleTarget
	roleCount
)

// State says whether an instance may receive new work.
type State int

// The states of instances. An instance that is gone is not listed.
const (
	StateLive State = iota
	StateLeaving
	stateCount
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	// Name is unique in the list.
	Name string
	// Address is the IP address and port of the instance's service.
	Address string
	// PeerAddress is the IP address and port for other entry instances; it is
	// empty for targets.
	PeerAddress      string `json:",omitempty"`
	AvailabilityZone string
	Rack             string `json:",omitempty"`
	Role             Role
	// Service, Slots, Cores, MemoryMB and Accelerators describe targets.
	Service      string `json:",omitempty"`
	Slots        int    `json:",omitempty"`
	Cores        int    `json:",omitempty"`
	MemoryMB     int    `json:",omitempty"`
	Accelerators int    `json:",omitempty"`
	State        State
}

// MarshalText returns the name of the role.
func (r Role) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// UnmarshalText parses the name of a role.
func (r *Role) UnmarshalText(text []byte) (err error) {
	*r, err = rattanjson.ParseEnum(text, roleCount)
	return err
}

// MarshalText returns the name of the state.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the name of a state.
func (s *State) UnmarshalText(text []byte) (err error) {
	*s, err = rattanjson.ParseEnum(text, stateCount)
	return err
}
