// Package cellowner carries out what a cell decides while this instance owns
// it. An Owner lives for one term: it loads the jobs from the store, looks at
// every worker under the new fencing token, and then runs four loops until it
// is overtaken or stops: one that plans, one look loop per worker, one that
// commits progress, and one that follows the roster and the store's jobs.
package cellowner
