package cellpeer

import "time"

// instanceRow is an instance as its row in the store tells.
type instanceRow struct {
	Instance
	version uint64
	// changedAt is when this reader last saw the row change.
	changedAt time.Time
}

// unchangedFor returns for how long the row had been the same at the last read.
func (l *instanceRow) unchangedFor(readAt time.Time) time.Duration { return readAt.Sub(l.changedAt) }
