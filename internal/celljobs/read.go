package celljobs

import (
	"context"
	"sync"
	"time"

	"gentianstand/internal/store"
)

const (
	// maxReaders is the maximum number of partitions that are read at the same time. The store
	// serves at least 2000 reads per second for all instances together, and in a slow store each
	// further round of reads takes long. minReaders is the number for the slowest link.
	maxReaders = 64
	minReaders = 4
	// partitionBytes is roughly how much a read of one partition transfers over the link.
	partitionBytes = 6 << 10
	// linkTimeBudget is how long the answers in transfer may occupy the link together.
	linkTimeBudget = 200 * time.Millisecond
)

// ReadersFor returns the number of partitions to read at the same time over a link of the given
// Mbit/s, where 0 is an unlimited link. Answers that queue up on a narrow link time out and are
// requested again, and pings wait in the same queue.
func ReadersFor(linkMbps float64) int {
	if linkMbps <= 0 {
		return maxReaders
	}
	bytes := linkMbps * 1e6 / 8 * linkTimeBudget.Seconds()
	return min(max(int(bytes/partitionBytes), minReaders), maxReaders)
}

// Records reads all records and cancellations of the cell. It also returns the version from which
// a feed of the jobs table misses nothing.
func (j *Jobs) Records(ctx context.Context) ([]store.Row, uint64, error) {
	results := make([]partitionRead, jobPartitions)
	next := make(chan int, jobPartitions)
	for n := range jobPartitions {
		next <- n
	}
	close(next)
	var wg sync.WaitGroup
	for range j.readers {
		wg.Go(func() {
			for n := range next {
				r := &results[n]
				r.rows, r.version, r.err = store.ReadAll(ctx, store.RetryingReader{Store: j.store}, TableJobs, partitionName(j.cell, n))
			}
		})
	}
	wg.Wait()
	return joinReads(results)
}

// partitionRead is the result of reading one partition.
type partitionRead struct {
	rows    []store.Row
	version uint64
	err     error
}

// joinReads returns all rows and the lowest version, at which no partition had been read yet.
func joinReads(results []partitionRead) ([]store.Row, uint64, error) {
	var rows []store.Row
	version := results[0].version
	for _, r := range results {
		if r.err != nil {
			return nil, 0, r.err
		}
		rows = append(rows, r.rows...)
		version = min(version, r.version)
	}
	return rows, version, nil
}
