package cellleader

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"gentianstand/internal/cellpeer"
	"gentianstand/internal/store"
)

// slowReads answers no read before its context has ended, and the first one long after.
type slowReads struct {
	store.Store
	reads int
}

func (s *slowReads) Get(ctx context.Context, _, _, _ string) (store.Row, error) {
	s.reads++
	late := time.Second / time.Duration(s.reads)
	<-ctx.Done()
	time.Sleep(late)
	return store.Row{}, store.ErrUnknown
}

// Guards against a read of the claim that goes on, and logs, after the instance has stopped.
func TestStoppedOwnerReadsItsClaimNoMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, hook := logtest.NewNullLogger()
		log.SetLevel(logrus.DebugLevel)
		s := store.NewMonitored(&slowReads{})
		l := New("cell", cellpeer.NewDirectory(cellpeer.Instance{Name: "edge-1"}, s, log), cellpeer.NewClients(), s, nil, nil, log)
		ctx, cancel := context.WithCancel(t.Context())
		l.verify(ctx, &term{leader: l, began: time.Now()})
		synctest.Wait()
		cancel()
		l.Run(ctx)
		logged := len(hook.AllEntries())
		time.Sleep(storeTimeout)
		if got := len(hook.AllEntries()); got != logged {
			t.Errorf("%d lines after the end of Run: %v", got-logged, hook.LastEntry().Message)
		}
	})
}
