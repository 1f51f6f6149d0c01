package upkeep

// Machine is a machine as the fleet lists it. A worker is one incarnation of a machine.
type Machine struct {
	Name string
	// Worker is the ID of its worker, or empty if it has none.
	Worker string
	// Up is set while the machine works; otherwise it is down, moving or in maintenance.
	Up bool
	// InMaintenance is set while the machine is being maintained.
	InMaintenance bool
}
