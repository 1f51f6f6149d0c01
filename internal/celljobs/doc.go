// Package celljobs stores the jobs of a cell. The accepting instance writes the record of a job
// once, a cancellation is a row beside it, and the owner of the cell rewrites the progress.
//
// The progress of a job is one row, or several if it exceeds a row: the row of the job and its parts.
// Progress is in the cell's own partition, together with the claim, so that the owner's writes
// can require that its ownership still holds. It has one writer, which stores many jobs at once.
// Each of its writes also replaces the sequence row; otherwise a write without an answer that
// takes effect after a later one would restore old progress. Records have many writers and are
// spread over jobPartitions other partitions.
//
// A final state never changes once a caller has seen it. It is shown only from the progress, or as
// cancelled once a mark is stored beside the progress. Every write of the owner that completes or fails
// a job requires that the mark is absent. Marks are rare: only readers store them that find a
// cancellation of which the progress does not show anything yet.
package celljobs

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"strings"

	"gentianstand/internal/job"
)

// jobPartitions is the number of partitions over which records are spread. A partition applies
// its transactions one after the other, and refuses those that would wait for more than 1 s,
// which is little in a slow store. With this number each partition stays far below its capacity,
// and all of them can still be read in a few rounds in a takeover.
const jobPartitions = 128

// Tables, and keys in the jobs table.
const (
	TableJobs     = "jobs"
	TableProgress = "progress"
	jobPrefix     = "job/"
	cancelPrefix  = "cancel/"
	workersPrefix = "workers/"
	markPrefix    = "cancelled/"
	partPrefix    = "part/"
	// SequenceKey is the key, in the progress table, of the row that every write of the owner
	// replaces.
	SequenceKey = "sequence"
)

// recordPartition returns the partition of a job's record and cancellation.
func recordPartition(cell, id string) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // Write of a hash never returns an error
	return partitionName(cell, int(h.Sum32()%jobPartitions))
}

// partitionName returns the name of the n-th partition for records of a cell.
func partitionName(cell string, n int) string { return fmt.Sprintf("%s/%03d", cell, n) }

// WorkersKey returns the key, in the progress table, of a chunk of the known workers.
func WorkersKey(chunk int) string { return fmt.Sprintf("%s%02d", workersPrefix, chunk) }

// ParseWorkersKey returns the number of the chunk in a key of the progress table. ok is false if
// the key is not that of a chunk of known workers.
func ParseWorkersKey(key string) (chunk int, ok bool) {
	text, ok := strings.CutPrefix(key, workersPrefix)
	if !ok {
		return 0, false
	}
	chunk, err := strconv.Atoi(text)
	return chunk, err == nil
}

// MarkKey returns the key, in the progress table, of the mark of a job that is shown as cancelled.
func MarkKey(id string) string { return markPrefix + id }

// ParseMarkKey returns the job id in a key of the progress table. ok is false if the key is not that of
// a mark.
func ParseMarkKey(key string) (id string, ok bool) { return strings.CutPrefix(key, markPrefix) }

// PartKey returns the key, in the progress table, of a part of a job's progress.
func PartKey(id string, part job.PartID) string { return partsPrefix(id) + part.String() }

// partsPrefix returns the prefix of the keys of all parts of a job's progress.
func partsPrefix(id string) string { return partPrefix + id + "/" }

// ParsePartKey returns the job id and the part in a key of the progress table. ok is false if the key is
// not that of a part.
func ParsePartKey(key string) (id string, part job.PartID, ok bool) {
	text, ok := strings.CutPrefix(key, partPrefix)
	if !ok {
		return "", part, false
	}
	id, text, ok = strings.Cut(text, "/")
	if !ok {
		return "", part, false
	}
	part, err := job.ParsePartID(text)
	return id, part, err == nil
}

// JobKey returns the key of a job's record.
func JobKey(id string) string { return jobPrefix + id }

// CancelKey returns the key of a job's cancellation.
func CancelKey(id string) string { return cancelPrefix + id }

// ParseKey splits a key of the jobs table into a job id and whether it is the key of a
// cancellation. ok is false for other keys.
func ParseKey(key string) (id string, cancel, ok bool) {
	if id, ok = strings.CutPrefix(key, jobPrefix); ok {
		return id, false, true
	}
	id, ok = strings.CutPrefix(key, cancelPrefix)
	return id, true, ok
}
