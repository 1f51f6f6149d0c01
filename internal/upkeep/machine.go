package upkeep

// Machine is a machine as the fleet lists it. A worker is one life of a machine.
type Machine struct {
	Name string
	// Worker is the id of its worker, or empty if it has none.
	Worker string
	// Up says that it works; otherwise it is down, moving or has its upkeep.
	Up bool
	// InMaintenance says that its upkeep goes on.
	InMaintenance bool
}
