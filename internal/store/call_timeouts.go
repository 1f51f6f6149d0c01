package store

import (
	"time"

	"gentianstand/internal/adaptivetimeout"
)

// callTimeouts configures the adaptive timeout of calls. The minimum is about what a store
// needs that has just become slow. The maximum leaves time for one retry within a caller's
// 3 seconds. The timeout has to adapt within a few calls: retries that come too early
// lengthen the queues of a slow store, but calls on a dead connection should be retried soon.
var callTimeouts = adaptivetimeout.Settings{
	Min: 450 * time.Millisecond, Max: 2200 * time.Millisecond, Factor: 6, AnswerWeight: 0.1, TimeoutWeight: 0.3,
}
