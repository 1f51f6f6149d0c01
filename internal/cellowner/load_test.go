package cellowner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"gentianstand/internal/cell"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/roster"
	"gentianstand/internal/store"
)

// stalledStore is a store and a roster that do not answer until a given time.
type stalledStore struct {
	store.Store
	until time.Time
}

func (s *stalledStore) wait(ctx context.Context) error {
	if !time.Now().Before(s.until) {
		return nil
	}
	<-ctx.Done()
	return store.ErrUnknown
}

func (s *stalledStore) Read(ctx context.Context, _, _, _ string) (store.Page, error) {
	return store.Page{}, s.wait(ctx)
}

func (s *stalledStore) All(context.Context) (roster.Change, error) { return roster.Change{}, nil }

func (s *stalledStore) Since(context.Context, uint64, time.Duration) (roster.Change, error) {
	return roster.Change{}, nil
}

// loadDuringOutage loads a cell while the store does not answer for the given time.
func loadDuringOutage(t *testing.T, outage time.Duration) (took time.Duration, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log, _ := logtest.NewNullLogger()
		s := &stalledStore{until: time.Now().Add(outage)}
		o := New(cell.Settings{Term: 1}, store.Check{}, Deps{Store: s, Jobs: celljobs.New(store.NewMonitored(s), "cell"), Roster: s,
			Leadership: confirmedLeadership{}, Metrics: NewMetrics(metrics.NewSet()), Log: log})
		began := time.Now()
		err = o.load(t.Context())
		took = time.Since(began)
	})
	return took, err
}

// A load must finish after an outage of the store: nothing was planned any more after a
// takeover, and no other instance took the cell over.
func TestLoadFinishesWhenTheStoreAnswersAgain(t *testing.T) {
	took, err := loadDuringOutage(t, 4*time.Second)
	if err != nil || took > 6*time.Second {
		t.Errorf("loaded after %v, error %v", took, err)
	}
}

// An owner that the store no longer serves must not keep a cell that it has never loaded.
func TestOwnerThatCannotReadTheCellStops(t *testing.T) {
	took, err := loadDuringOutage(t, time.Hour)
	if err == nil || took > loadTimeout {
		t.Errorf("error %v after %v", err, took)
	}
}
