package rattanplatform

import "github.com/rattanlever/rattanlever/rattaninventory"

// The types of the instance list are those of its decisions.
type (
	// Instance is one entry of the platform's instance list.
	Instance = rattaninventory.Instance
	// InstanceQuery asks for the instance list or for one availability zone's
	// part of it.
	InstanceQuery = rattaninventory.Query
	// InstanceReply is the answer to an InstanceQuery.
	InstanceReply = rattaninventory.Reply
	// Role says what an instance does.
	Role = rattaninventory.Role
	// State says whether an instance may get new work.
	State = rattaninventory.State
)

// The roles and states of instances.
const (
	RoleEntry    = rattaninventory.RoleEntry
	RoleTarget   = rattaninventory.RoleTarget
	StateLive    = rattaninventory.StateLive
	StateLeaving = rattaninventory.StateLeaving
)
