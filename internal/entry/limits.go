package entry

import "time"

// The limits of a request.
const (
	// replayBytes is the largest body that is read whole before a slot is
	// taken, so that a slow sender holds no slot and a retry can repeat it.
	replayBytes = 64 << 10
	// maxBodyBytes bounds a streamed body.
	maxBodyBytes   = 256 << 20
	maxHeaderBytes = 32 << 10
	maxIDLength    = 128
	maxKeyLength   = 255
	defaultTimeout = 30 * time.Second
	maxTimeout     = 10 * time.Minute
	// maxAttempts bounds the attempts of one request that may have run, and
	// maxTries all of them.
	maxAttempts = 3
	maxTries    = 32
	// bodyTimeout bounds the reading of a small body.
	bodyTimeout = 10 * time.Second
	copyBuffer  = 32 << 10
)
