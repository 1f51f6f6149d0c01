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

// silentFor is a store and a roster that do not answer until some time has passed.
type silentFor struct {
	store.Store
	until time.Time
}

func (s *silentFor) wait(ctx context.Context) error {
	if !time.Now().Before(s.until) {
		return nil
	}
	<-ctx.Done()
	return store.ErrUnknown
}

func (s *silentFor) Read(ctx context.Context, _, _, _ string) (store.Page, error) {
	return store.Page{}, s.wait(ctx)
}

func (s *silentFor) All(context.Context) (roster.Change, error) { return roster.Change{}, nil }

func (s *silentFor) Since(context.Context, uint64, time.Duration) (roster.Change, error) {
	return roster.Change{}, nil
}

// loadBeside has an owner read its cell while the store is silent for some time.
func loadBeside(t *testing.T, silence time.Duration) (took time.Duration, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		log, _ := logtest.NewNullLogger()
		s := &silentFor{until: time.Now().Add(silence)}
		o := New(cell.Settings{Term: 1}, store.Check{}, Deps{Store: s, Jobs: celljobs.New(store.NewMonitored(s), "cell"), Roster: s,
			Leadership: confirmed{}, Metrics: NewMetrics(metrics.NewSet()), Log: log})
		began := time.Now()
		err = o.load(t.Context())
		took = time.Since(began)
	})
	return took, err
}

// Failure: after a take-over nothing is planned for the rest of the day, and nobody
// takes the cell over.
func TestCellIsReadWhenTheStoreAnswersAgain(t *testing.T) {
	took, err := loadBeside(t, 4*time.Second)
	if err != nil || took > 6*time.Second {
		t.Errorf("read after %v, error %v", took, err)
	}
}

// Failure: an owner that the store serves no more keeps a cell that it has never read.
func TestOwnerThatCannotReadTheCellGivesItUp(t *testing.T) {
	took, err := loadBeside(t, time.Hour)
	if err == nil || took > loadTimeout {
		t.Errorf("error %v after %v", err, took)
	}
}
