// Package policy declares the interface that all placement policies implement. A policy is a
// pure function of a cluster and a request.
package policy

import "gentianstand/internal/placement/cluster"

// Policy chooses workers for tasks. Place does not change the cluster; the caller allocates
// what it accepts. The cluster must not change during the call.
type Policy interface {
	Place(c *cluster.Cluster, req Request) Decision
}
