package idempotency

import "time"

// Limits of the registry.
const (
	// Retention is how long a key is stored. A later retry counts as a new
	// request.
	Retention = 15 * time.Minute
	// maxKeys bounds the keys of one shard.
	maxKeys = 200_000
	// MaxStoredBody bounds the size in bytes of a response body that is stored
	// for retries.
	MaxStoredBody = 4 << 10
	// maxBatch bounds the rows of one write.
	maxBatch = 200
	// writeTimeout bounds a write.
	writeTimeout = 2 * time.Second
	loadPage     = 1000
	// readyPollPeriod is how often a waiting request checks whether the owning
	// shard is ready.
	readyPollPeriod = 25 * time.Millisecond
	// flushPeriod is how often ends are written and old keys removed.
	flushPeriod = 500 * time.Millisecond
)
