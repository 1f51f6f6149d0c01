package cellpeer

import "time"

// instanceRow is an instance and the version of its row in the store.
type instanceRow struct {
	Instance
	version uint64
	// changedAt is when this reader last saw the row change.
	changedAt time.Time
}

// unchangedFor returns for how long the row had not changed at the last read.
func (l *instanceRow) unchangedFor(readAt time.Time) time.Duration { return readAt.Sub(l.changedAt) }
