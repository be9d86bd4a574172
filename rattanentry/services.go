package rattanentry

// Names under which the services of an instance are registered in the kernel.
const (
	serviceConfiguration = "Configuration"
	serviceFrontend      = "Front"
	serviceHome          = "Home"
	serviceInventory     = "Inventory"
	serviceKeyring       = "Keyring"
	// servicePeers is the name of rattanpeer.Node.
	servicePeers        = "Links"
	serviceLoadExchange = "Loads"
	serviceMembership   = "Members"
	serviceOperations   = "Operations"
	servicePlans        = "Plans"
	serviceRecorder     = "Records"
	serviceBorrower     = "Spill"
)
