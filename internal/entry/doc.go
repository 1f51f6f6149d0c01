// Package entry is what callers and operators talk to: HTTP, behind the
// platform's balancer, which may send any request to any instance.
//
// A request to a service takes a slot on one of this instance's own workers,
// or goes to another instance that has one free, at most once further. Batch
// runs and jobs go to the planner. Every answer that is not an upstream's own
// carries one error kind and whether the work ran.
package entry
