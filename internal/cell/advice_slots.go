package cell

import (
	"time"

	"gentianstand/internal/job"
)

// slowCallFrom is the duration from which an adviser call counts as slow. An adviser instance
// serves one call at a time, so a quick call queued behind a slow one waits for all of it.
const slowCallFrom = 150 * time.Millisecond

// AdviceSlots is the number of adviser calls that may start now.
type AdviceSlots struct {
	// Quick slots accept quick calls only.
	Quick int
	// Any slots accept quick and slow calls.
	Any int
	// IdleQuick slots are at instances that carry quick calls only and have none in progress; they are
	// counted in Quick, too. They accept slow calls for long-running tasks that have been down for long.
	IdleQuick int
}

// available reports whether a call can start immediately. The adviser serves a queued call
// even after its caller has timed out, so retrying early only delays later calls.
func (s *AdviceSlots) available(slow bool) bool { return s.Any > 0 || (!slow && s.Quick > 0) }

// onlyIdleQuick reports whether a slow call can start immediately in an IdleQuick slot only.
func (s *AdviceSlots) onlyIdleQuick() bool { return s.Any <= 0 && s.IdleQuick > 0 }

// acquire takes a slot for a call.
func (s *AdviceSlots) acquire(slow bool) {
	switch {
	case !slow && s.Quick > 0:
		s.Quick--
	case s.Any > 0:
		s.Any--
	default:
		s.IdleQuick--
	}
}

func isSlowCall(c *job.AdviceCost) bool { return c.Duration(typicalCallSize) >= slowCallFrom }
