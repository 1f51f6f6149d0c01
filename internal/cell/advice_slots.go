package cell

import (
	"time"

	"gentianstand/internal/job"
)

// slowCallFrom is the duration from which a call for advice counts as slow. The
// adviser takes one call at a time for each instance, so a quick call behind a
// slow one waits for all of it.
const slowCallFrom = 150 * time.Millisecond

// AdviceSlots is how many calls for advice may begin now.
type AdviceSlots struct {
	// Quick may carry quick calls only.
	Quick int
	// Any may carry both.
	Any int
}

// available reports whether a call may begin at once. A call that waits at the adviser is served
// even after its caller has given it up, so asking again would only delay the next ones.
func (s *AdviceSlots) available(slow bool) bool { return s.Any > 0 || (!slow && s.Quick > 0) }

// acquire books a call.
func (s *AdviceSlots) acquire(slow bool) {
	if !slow && s.Quick > 0 {
		s.Quick--
		return
	}
	s.Any--
}

func isSlowCall(c *job.AdviceCost) bool { return c.Duration(typicalCallSize) >= slowCallFrom }
