// Package planner decides where tasks run. One instance at a time, the owner
// of the planner shard, runs it.
//
// Core holds all runs and workers in memory and decides without clock,
// network or locks: reports, submissions, cancellations and texts go in;
// Decide places pending tasks; Changes returns the rows to write; after
// Committed, Outbox returns what to tell the owners of workers. Planner runs
// the Core and does the I/O.
//
// A start leaves the Core only after the row that names its worker and
// attempt has been written, so whoever plans next knows where every task may
// be running. In a confirmed outage of the table starts may leave before: a
// new planner then places a task that was pending at its take-over only once
// every worker has been accounted for (see recovery.go).
package planner
