// Package cluster is the snapshot that placement decides on: workers with what
// they have free, grouped into racks and availability zones, and how many
// tasks of each workload stand where.
//
// It is an index, not only a list: each rack and zone knows the most that any
// of its workers has free, so whole racks are passed over in one comparison.
package cluster
