// Package policy declares what every placement policy has in common. Each
// policy is a pure function of a cluster and a request.
package policy

import "gentianstand/internal/placement/cluster"

// Policy chooses workers for tasks. Place does not change the cluster; the
// caller takes what it accepts. It may be called only while nobody changes
// the cluster.
type Policy interface {
	Place(c *cluster.Cluster, req Request) Decision
}
