package intake

// semaphore limits how many calls are under way. Without it, callers of an owner that answers
// late would each open a connection and close it at their timeout, and fill its link.
// Beyond the semaphore questions go to the store, and news reaches the owner with its next
// read of the store.
type semaphore struct{ slots chan struct{} }

func newSemaphore(limit int) *semaphore { return &semaphore{make(chan struct{}, limit)} }

// tryAcquire takes a place and reports whether there was one.
func (s *semaphore) tryAcquire() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// release gives a place back.
func (s *semaphore) release() { <-s.slots }
