package store

import (
	"time"

	"gentianstand/internal/patience"
)

// callTimeouts bounds the wait for the answer to a call. The least is about what a store
// that has just become slow needs; the most leaves time for one more attempt within a
// caller's three seconds. The usual duration has to rise within a few calls: calls that
// are made again too early lengthen the queues of a slow store, but those on a connection
// that went silent should be made again soon.
var callTimeouts = patience.Settings{
	Min: 450 * time.Millisecond, Max: 2200 * time.Millisecond, Factor: 6, AnswerWeight: 0.1, TimeoutWeight: 0.3,
}
