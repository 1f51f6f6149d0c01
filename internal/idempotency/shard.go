package idempotency

import (
	"time"

	"gentianstand/internal/ownership"
)

// shardKeys is what this process knows of the keys of one shard that it owns.
// The Register's lock guards it.
type shardKeys struct {
	held    ownership.HeldShard
	ready   bool
	records map[string]*Record
	// dirty holds names whose records are to be written to the table.
	dirty map[string]bool
	// removed holds names whose rows are to be deleted.
	removed map[string]bool
	// segments counts the objects written in an outage.
	segments int
}

func newShardKeys(held ownership.HeldShard) *shardKeys {
	return &shardKeys{held: held, records: map[string]*Record{}, dirty: map[string]bool{}, removed: map[string]bool{}}
}

// expire drops keys older than Retention.
func (s *shardKeys) expire(now time.Time) {
	for name, r := range s.records {
		if now.Sub(r.At) > Retention {
			delete(s.records, name)
			delete(s.dirty, name)
			s.removed[name] = true
		}
	}
}
