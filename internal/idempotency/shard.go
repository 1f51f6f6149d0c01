package idempotency

import (
	"time"

	"gentianstand/internal/ownership"
)

// shardKeys holds the keys of one shard that this process owns. It is guarded
// by the Registry's lock.
type shardKeys struct {
	held    ownership.HeldShard
	ready   bool
	records map[string]*Record
	// dirty holds the hashes of records to be written to the table.
	dirty map[string]bool
	// removed holds the hashes of rows to be deleted.
	removed map[string]bool
	// segments is the number of objects written during outages.
	segments int
}

func newShardKeys(held ownership.HeldShard) *shardKeys {
	return &shardKeys{held: held, records: map[string]*Record{}, dirty: map[string]bool{}, removed: map[string]bool{}}
}

// expire drops keys older than Retention.
func (s *shardKeys) expire(now time.Time) {
	for hash, r := range s.records {
		if now.Sub(r.At) > Retention {
			delete(s.records, hash)
			delete(s.dirty, hash)
			s.removed[hash] = true
		}
	}
}
