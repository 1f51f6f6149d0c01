// Package ownership decides which instance owns which shard. A shard is a
// rack of workers, or the planner. One row in the table names its owner and
// epoch; Decide says what an instance should change there, and Keeper does it.
package ownership
