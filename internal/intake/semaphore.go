package intake

// semaphore limits the number of concurrent calls to the owner. Without it, each call to an
// owner that responds late would open a connection, close it at its timeout, and together they
// would fill the owner's link. Beyond the limit, queries go to the store, and the owner learns
// of new jobs with its next read of the store.
type semaphore struct{ slots chan struct{} }

func newSemaphore(limit int) *semaphore { return &semaphore{make(chan struct{}, limit)} }

// tryAcquire acquires a slot and reports whether one was free.
func (s *semaphore) tryAcquire() bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// release frees a slot.
func (s *semaphore) release() { <-s.slots }
