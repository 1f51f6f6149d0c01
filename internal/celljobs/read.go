package celljobs

import (
	"context"
	"sync"
	"time"

	"gentianstand/internal/store"
)

const (
	// mostReaders is how many partitions are read at the same time at most: all instances
	// together may make two thousand reads a second or more, and rounds of reads add up
	// in a slow store. leastReaders is what the smallest link is given.
	mostReaders  = 64
	leastReaders = 4
	// partitionBytes is about what the read of a partition takes of the link.
	partitionBytes = 6 << 10
	// readAhead is how long the answers that are under way may take of the link together.
	readAhead = 200 * time.Millisecond
)

// ReadersFor returns how many partitions to read at the same time over a link of some
// Mbit/s; 0 is one that nobody has limited. Answers that stand in line on a narrow link
// are given up and asked for again, and pings stand in the same line.
func ReadersFor(linkMbps float64) int {
	if linkMbps <= 0 {
		return mostReaders
	}
	bytes := linkMbps * 1e6 / 8 * readAhead.Seconds()
	return min(max(int(bytes/partitionBytes), leastReaders), mostReaders)
}

// Records reads all records and cancellations of the cell, and the version from
// which a feed of the table of jobs misses nothing.
func (b *Jobs) Records(ctx context.Context) ([]store.Row, uint64, error) {
	results := make([]partitionRead, jobPartitions)
	next := make(chan int, jobPartitions)
	for n := range jobPartitions {
		next <- n
	}
	close(next)
	var wg sync.WaitGroup
	for range b.readers {
		wg.Go(func() {
			for n := range next {
				r := &results[n]
				r.rows, r.version, r.err = store.ReadAll(ctx, store.RetryingReader{Store: b.store}, TableJobs, partitionName(b.cell, n))
			}
		})
	}
	wg.Wait()
	return joinReads(results)
}

// partitionRead is what one partition held.
type partitionRead struct {
	rows    []store.Row
	version uint64
	err     error
}

// joinReads returns all rows and the lowest version, at which no partition had
// been read yet.
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
