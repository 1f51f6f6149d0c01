// Package dev runs a whole system in one process: a platform in memory, entry
// instances and workers that only pretend, each on a loopback port. It is for
// trying gentianstand out; nothing of it is used by serve.
package dev

// Settings is how large the system is.
type Settings struct {
	Instances int
	Workers   int
	// WorkersPerRack groups workers into racks, one availability zone each
	// in turn.
	WorkersPerRack int
	LogLevel       string
	// OperatorToken, if not empty, must come with operators' calls.
	OperatorToken string
}
