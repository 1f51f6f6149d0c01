// Package cellowner carries out the decisions of package cell while this instance owns the cell.
// An Owner lives for one term. It loads the jobs from the store, polls every worker with the new
// fencing token, and runs its loops until it is superseded or stopped: one loop plans, one polls
// each worker, one commits progress, two follow the roster and the jobs in the store, one carries
// out maintenance waves, and one compacts ended jobs.
package cellowner
