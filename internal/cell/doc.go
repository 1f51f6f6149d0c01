// Package cell plans the work of one cell: a set of workers and the jobs that
// run on them, decided by one owner at a time.
//
// A Cell is pure: it does no input or output and reads no clock. Its owner
// (package cellowner) feeds it what happens (jobs, reports of workers, answers
// to orders, advice) and carries out the orders that Plan returns:
//
//	news ──> Add, Cancel, Reported, StartAnswered, Advised, ... ─┐
//	                                                             v
//	orders <── Plan: recover, watch, order stages, place, advise, preempt
//	                                                             │
//	store  <── NextCommit / Committed: ends become durable, then acknowledged
//
// Safety rests on four facts. A run is placed only where the cell's own books
// show room, and what may still be starting or stopping counts as there. A task
// gets a second run only after the first one's end was listed by its worker, was
// revoked by an answered stop, or its worker's lease must have ended on the
// worker's own clock. Workers refuse orders with a lower fencing token, so an
// overtaken owner's orders are dead. An end is acknowledged only after the
// progress that contains it was stored.
package cell
