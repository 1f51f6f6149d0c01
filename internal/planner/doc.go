// Package planner schedules tasks onto workers. Exactly one instance at a time,
// the owner of the planner shard, runs it.
//
// Core holds all runs and workers in memory and makes the decisions without
// clock, network or locks. Reports, submissions, cancellations and
// configurations are its input. Decide places pending tasks, Changes returns
// the rows to write, and after Committed Outbox returns the assignments for the
// owners of workers. Planner drives the Core and does the I/O.
//
// A start leaves the Core only after the row that names its worker and attempt
// has been written, so a new planner knows where every task may be running.
// During a confirmed outage of the table, starts may be sent before their rows
// are written. A new planner therefore places tasks that were pending when it
// took over only after every worker is accounted for (see recovery.go).
package planner
