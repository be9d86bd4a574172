package rattanentry

// Names under which the services of an instance find each other in the kernel.
const (
	serviceConfiguration = "Configuration"
	serviceFront         = "Front"
	serviceHome          = "Home"
	serviceInventory     = "Inventory"
	serviceKeyring       = "Keyring"
	// serviceLinks is the name of rattanpeer.Node.
	serviceLinks      = "Links"
	serviceLoads      = "Loads"
	serviceMembers    = "Members"
	serviceOperations = "Operations"
	servicePlans      = "Plans"
	serviceRecords    = "Records"
	serviceSpill      = "Spill"
)
