// Package owner looks after the workers of the shards that this process
// holds: it claims them under its epoch, keeps their leases, starts and stops
// what the planner assigned, and reports what runs.
//
// A Tracker is the state of one worker and decides without clock or network;
// Owner runs a loop for each Tracker and does the calls.
package owner
