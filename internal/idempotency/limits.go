package idempotency

import "time"

// The limits of the register.
const (
	// Retention is how long a key is remembered; a repeat must come sooner.
	Retention = 15 * time.Minute
	// maxKeys bounds the keys of one shard.
	maxKeys = 200_000
	// MaxStoredBody bounds the answers that are kept for repeats, in bytes.
	MaxStoredBody = 4 << 10
	// maxBatch bounds the rows of one write.
	maxBatch = 200
	// writeTimeout bounds a write.
	writeTimeout = 2 * time.Second
	// loadRetry is the wait after a failed load of a shard's keys.
	loadRetry = 500 * time.Millisecond
	loadPage  = 1000
	// readyPollPeriod is how often a request looks whether its home is ready.
	readyPollPeriod = 25 * time.Millisecond
	// flushPeriod is how often ends are written and old keys removed.
	flushPeriod = 500 * time.Millisecond
)
