// Package cluster provides the snapshot that placement decides on: the workers and their free
// resources, grouped into racks and availability zones, and the number of tasks of each
// workload per zone, rack and worker.
//
// Each rack and zone keeps the maximum that any of its workers has free, so that one comparison
// can rule out a whole rack.
package cluster
