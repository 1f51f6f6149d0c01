// Package owner manages the workers of the shards that this process owns. It
// claims them under its epoch, renews their leases, starts and stops the tasks
// that the planner assigned, and reports what runs.
//
// Tracker holds the state of one worker and makes its decisions without clock
// or network. Owner runs a loop for each Tracker and makes the calls.
package owner
