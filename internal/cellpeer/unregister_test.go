package cellpeer

import (
	"testing"
	"testing/synctest"
	"time"

	"gentianstand/internal/store"
)

// Guards against an instance that has stopped as planned and is listed for 70 s more, because it renews its row
// between its removal and its end.
func TestStoppingInstanceRenewsNoRow(t *testing.T) {
	// perWrite is how long a write takes; a renewal may be in progress at the removal.
	for _, perWrite := range []time.Duration{0, 300 * time.Millisecond} {
		for after := renewPeriod - time.Second; after <= renewPeriod+directoryReadPeriod; after += 100 * time.Millisecond {
			synctest.Test(t, func(t *testing.T) {
				s := &slowStore{tableStore: &tableStore{rows: map[string]store.Row{}}, perWrite: perWrite}
				d, stop := running(s, "a")
				time.Sleep(after)
				d.Unregister(t.Context())
				time.Sleep(3 * time.Second)
				stop()
				synctest.Wait()
				if s.has("a") {
					t.Errorf("writes of %v: the row is there again after a stop at %v", perWrite, after)
				}
			})
		}
	}
}
