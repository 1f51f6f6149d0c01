// Package node puts an instance together that works on a platform where
// instances own nothing: callers' requests, the choice of the cell's owner, the
// owner itself, the catalog of queues, readiness and metrics. What speaks to the
// outside comes in as Outside.
package node
