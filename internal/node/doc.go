// Package node assembles an instance for platforms where instances have no durable state of
// their own: request handling, election of the cell's owner, the owner itself, the catalog of
// queues, readiness and metrics. The clients of external systems are injected as Adapters.
package node
