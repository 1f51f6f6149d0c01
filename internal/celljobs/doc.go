// Package celljobs keeps the jobs of a cell in the store. The accepting
// instance writes a job's record once, a cancellation is a row beside it, and
// the cell's owner rewrites the progress. All are in the cell's partition, so
// that the owner's writes can demand that its ownership still holds.
package celljobs

import "strings"

// The tables, and the keys in the table of jobs.
const (
	TableJobs     = "jobs"
	TableProgress = "progress"
	jobPrefix     = "job/"
	cancelPrefix  = "cancel/"
)

// JobKey returns the key of a job's record.
func JobKey(id string) string { return jobPrefix + id }

// CancelKey returns the key of a job's cancellation.
func CancelKey(id string) string { return cancelPrefix + id }

// ParseKey splits a key of the table of jobs.
func ParseKey(key string) (id string, cancel, ok bool) {
	if id, ok = strings.CutPrefix(key, jobPrefix); ok {
		return id, false, true
	}
	id, ok = strings.CutPrefix(key, cancelPrefix)
	return id, true, ok
}
