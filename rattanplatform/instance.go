package rattanplatform

import "github.com/rattanlever/rattanlever/rattaninventory"

// The types of the instance list are defined in rattaninventory.
type (
	// Instance is one entry of the platform's instance list.
	Instance = rattaninventory.Instance
	// InstanceQuery requests the instance list or the part of it for one
	// availability zone.
	InstanceQuery = rattaninventory.Query
	// InstanceReply is the response to an InstanceQuery.
	InstanceReply = rattaninventory.Reply
	// Role is the function of an instance: entry instance or target.
	Role = rattaninventory.Role
	// State indicates whether an instance may receive new work.
	State = rattaninventory.State
)

// The roles and states of instances.
const (
	RoleEntry    = rattaninventory.RoleEntry
	RoleTarget   = rattaninventory.RoleTarget
	StateLive    = rattaninventory.StateLive
	StateLeaving = rattaninventory.StateLeaving
)
