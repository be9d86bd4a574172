package rattaninventory

import (
	"github.com/juju/errors"

	"github.com/rattanlever/rattanlever/rattanjson"
	"github.com/rattanlever/rattanlever/rattanwork"
)

// ErrInvalidInstance reports an entry that no instance can have.
const ErrInvalidInstance = errors.ConstError("invalid instance")

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

// maxNumber bounds the numbers of an instance, so that sums over all instances
// cannot overflow.
const maxNumber = 1_000_000_000

// Check returns ErrInvalidInstance unless the instance has a name and an address
// and its numbers are in range.
func (i *Instance) Check() error {
	switch {
	case i.Name == "":
		return errors.Annotate(ErrInvalidInstance, "no name")
	case !rattanwork.IsHostPort(i.Address):
		return errors.Annotatef(ErrInvalidInstance, "address %q: expected HOST:PORT", i.Address)
	case i.PeerAddress != "" && !rattanwork.IsHostPort(i.PeerAddress):
		return errors.Annotatef(ErrInvalidInstance, "peer address %q: expected HOST:PORT", i.PeerAddress)
	}
	for _, number := range [...]int{i.Slots, i.Cores, i.MemoryMB, i.Accelerators} {
		if number < 0 || number > maxNumber {
			return errors.Annotatef(ErrInvalidInstance, "number %d out of range", number)
		}
	}
	return nil
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
