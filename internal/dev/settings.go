// Package dev runs a complete system in one process for evaluation and development: an in-memory
// platform, entry instances and simulated workers, each on a loopback port. The serve command
// does not use it.
package dev

// Settings configure a System.
type Settings struct {
	Instances int
	Workers   int
	// WorkersPerRack is the number of workers per rack. Racks are assigned to the availability
	// zones in turn.
	WorkersPerRack int
	LogLevel       string
	// OperatorToken, if not empty, is the bearer token that operators' requests must carry.
	OperatorToken string
}
