package cellpeer

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gentianstand/internal/store"
)

// slowStore carries out one write after the other, also those whose callers have stopped waiting.
type slowStore struct {
	*tableStore
	perWrite time.Duration
	// freeAt is when all writes so far are carried out.
	freeAt time.Time
}

func (s *slowStore) Commit(ctx context.Context, tx store.Tx) (uint64, error) {
	s.mu.Lock()
	if now := time.Now(); s.freeAt.Before(now) {
		s.freeAt = now
	}
	s.freeAt = s.freeAt.Add(s.perWrite)
	wait := time.Until(s.freeAt)
	s.mu.Unlock()
	done := make(chan struct{})
	var version uint64
	var err error
	time.AfterFunc(wait, func() {
		version, err = s.tableStore.Commit(context.Background(), tx)
		close(done)
	})
	select {
	case <-done:
		return version, err
	case <-ctx.Done():
		return 0, store.ErrUnknown
	}
}

// Guards against instances that know no other one for as long as the store is slow, because all of them start
// at once and each waits for the answer to its registration, which always comes too late.
func TestInstancesKnowOneAnotherAfterAStartInASlowStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const instances = 40
		s := &slowStore{tableStore: &tableStore{rows: map[string]store.Row{}}, perWrite: 200 * time.Millisecond}
		var all []*Directory
		for n := range instances {
			d, stop := running(s, fmt.Sprintf("edge-%02d", n))
			defer stop()
			all = append(all, d)
		}
		time.Sleep(30 * time.Second)
		for _, d := range all {
			if n := len(d.Others()); n != instances-1 || !d.Loaded() {
				t.Errorf("%s knows %d of %d others; loaded %v", d.Self().Name, n, instances-1, d.Loaded())
			}
		}
	})
}
