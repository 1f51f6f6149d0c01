// Package ownership decides which instance owns which shard. A shard is a rack
// of workers, or the planner. One row in the table names its owner and epoch.
// Decide computes the changes that an instance should write, and Keeper writes
// them.
package ownership
