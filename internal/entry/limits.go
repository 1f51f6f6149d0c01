package entry

import "time"

// The limits of a request.
const (
	// replayBytes is the largest body that is buffered before a slot is taken, so that a
	// slow sender holds no slot and a retry can send the body again.
	replayBytes = 64 << 10
	// maxBodyBytes bounds a streamed body.
	maxBodyBytes   = 256 << 20
	maxHeaderBytes = 32 << 10
	maxIDLength    = 128
	maxKeyLength   = 255
	defaultTimeout = 30 * time.Second
	maxTimeout     = 10 * time.Minute
	// maxAttempts bounds the attempts of a request that may have run it, maxRetries bounds
	// the retries of all kinds.
	maxAttempts = 3
	maxRetries  = 32
	// bodyTimeout bounds the time to read a small body.
	bodyTimeout = 10 * time.Second
	copyBuffer  = 32 << 10
)
