// Package dev runs a whole system in one process: a platform in memory, entry
// instances and simulated workers, each on a loopback port. It is meant for
// trying out gentianstand; the serve command does not use it.
package dev

// Settings configures the system.
type Settings struct {
	Instances int
	Workers   int
	// WorkersPerRack is the number of workers in each rack. Racks are
	// assigned to the availability zones in turn.
	WorkersPerRack int
	LogLevel       string
	// OperatorToken, if not empty, is required in operators' calls.
	OperatorToken string
}
