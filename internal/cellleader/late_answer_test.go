package cellleader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"gentianstand/internal/cellpeer"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/store"
)

// claimedStore holds a claim and refuses to replace it, but counts the attempts.
type claimedStore struct {
	store.Store
	row      store.Row
	attempts int
	// failNext makes the next read fail.
	failNext bool
}

func (s *claimedStore) Get(context.Context, string, string, string) (store.Row, error) {
	if s.failNext {
		s.failNext = false
		return store.Row{}, store.ErrUnavailable
	}
	return s.row, nil
}

func (s *claimedStore) Commit(context.Context, store.Tx) (uint64, error) {
	s.attempts++
	return 0, store.ErrUnavailable
}

// Guards against an owner that keeps the cell although it does not reach the store, because it
// answers pings later than they wait.
func TestOwnerThatAnswersLateIsReplacedWithoutTheStore(t *testing.T) {
	for name, test := range map[string]struct {
		// reachable is for how long the store has served the instance that asks.
		storeLost, reachable time.Duration
		want                 int
	}{
		"it has not reached the store for long": {maxOwnerTimeout + time.Second, shortOwnershipLimit, 1},
		"it reaches the store":                  {0, shortOwnershipLimit, 0},
		"the store was away for all":            {maxOwnerTimeout + time.Second, lateAnswerTimeout, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				known := claim{Holder: "edge-2", Incarnation: "second", Term: 3, version: 7}
				value, err := cbor.Marshal(known)
				if err != nil {
					t.Fatal(err)
				}
				claimed := &claimedStore{row: store.Row{Version: known.version, Value: value}}
				log, _ := logtest.NewNullLogger()
				watched := store.NewMonitored(claimed)
				l := New("cell", cellpeer.NewDirectory(cellpeer.Instance{Name: "edge-1"}, watched, log), cellpeer.NewClients(), watched, nil, nil, log)
				l.updateClaim(known)
				time.Sleep(shortOwnershipLimit - test.reachable)
				claimed.failNext = true
				for range 2 {
					_, _ = watched.Get(t.Context(), "", "", "") // the second call ends the outage
				}
				time.Sleep(test.reachable)
				reply := &cellpb.PingReply{Term: known.Term, Owner: true, StoreLostMillis: test.storeLost.Milliseconds()}
				l.recordAnswer(known, reply, time.Now().Add(-lateAnswerTimeout), time.Now())
				l.ownerUnresponsive(t.Context(), known, context.DeadlineExceeded, time.Now())
				if claimed.attempts != test.want {
					t.Errorf("%d attempts to take over, want %d", claimed.attempts, test.want)
				}
			})
		})
	}
}
