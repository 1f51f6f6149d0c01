// Package entry implements the HTTP API for callers and operators. It runs behind the
// platform's load balancer, which may send any request to any instance.
//
// A request to a service takes a slot on one of this instance's own workers, or is forwarded
// to another instance that has a free slot; it is forwarded at most once. Batch runs and jobs
// go to the planner. Every error response that does not come from an upstream carries one
// error kind and an outcome, which states whether the work ran.
package entry
