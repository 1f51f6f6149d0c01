// Package celljobs keeps the jobs of a cell in the store. The accepting
// instance writes a job's record once, a cancellation is a row beside it, and
// the cell's owner rewrites the progress.
//
// Progress is in the cell's own partition, beside the claim, so that the owner's
// writes can demand that its ownership still holds; it has one writer, which
// stores many jobs at once. Each of its writes also replaces the sequence row: a
// write without an answer that takes effect after a later one would otherwise bring
// old progress back. Records have many writers and are spread over
// jobPartitions others.
package celljobs

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"
)

// jobPartitions is over how many partitions records are spread. A partition
// applies its transactions one after the other, and refuses what would wait for more
// than a second, which is little in a slow store. So many keep a partition far below
// what it can do, and can still be read in a few rounds at a take-over.
const jobPartitions = 128

// The tables, and the keys in the table of jobs.
const (
	TableJobs     = "jobs"
	TableProgress = "progress"
	jobPrefix     = "job/"
	cancelPrefix  = "cancel/"
	workersPrefix = "workers/"
	// SequenceKey is the key, in the table of progress, of the row that every write
	// of the owner replaces.
	SequenceKey = "sequence"
)

// recordPartition returns the partition of a job's record and cancellation.
func recordPartition(cell, id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash never fails
	return partitionName(cell, int(h.Sum32()%jobPartitions))
}

func partitionName(cell string, n int) string { return fmt.Sprintf("%s/%03d", cell, n) }

// WorkersKey returns the key of a chunk of the known workers, in the table of
// progress.
func WorkersKey(chunk int) string { return fmt.Sprintf("%s%02d", workersPrefix, chunk) }

// ParseWorkersKey reports whether a key of the table of progress is of a chunk of
// the known workers, and of which.
func ParseWorkersKey(key string) (chunk int, ok bool) {
	text, ok := strings.CutPrefix(key, workersPrefix)
	if !ok {
		return 0, false
	}
	chunk, err := strconv.Atoi(text)
	return chunk, err == nil
}

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
