// Package cell schedules the work of one cell: it decides which tasks run on which workers.
// A cell is a set of workers and the jobs that run on them, with one owner at a time.
//
// A Cell performs no input or output and reads no clock. Its owner (package cellowner)
// passes in events (jobs, reports of workers, answers to orders, advice) and carries out
// the orders that Plan returns:
//
//	events ──> Add, Cancel, Reported, StartAnswered, AdviceAnswered, ... ─┐
//	                                                                      v
//	orders <── Plan: recover, watch, sort stages, place, ask, preempt
//	                                                                      │
//	store  <── NextCommit / Committed: ends are stored, then acknowledged
//
// Safety rests on four rules:
//
//   - A run is placed only where the accounting shows free capacity. Runs that may still be
//     starting or stopping count as present.
//   - A task gets a second run only after the end of the first one is certain: its worker
//     reported the end, an answered stop revoked the run, or the worker's lease must have
//     expired on the worker's own clock. Only steps that allow duplicates are exempt.
//   - Workers refuse orders with a lower fencing token, so that orders of a superseded
//     owner have no effect.
//   - An end is acknowledged only after the progress that contains it was stored.
package cell
