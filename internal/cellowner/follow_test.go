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
	"gentianstand/internal/resource"
	"gentianstand/internal/roster"
	"gentianstand/internal/store"
)

// pagedRoster returns its updates in pages.
type pagedRoster struct {
	roster.Source
	pages []roster.Change
	calls int
}

func (p *pagedRoster) Since(context.Context, uint64, time.Duration) (roster.Change, error) {
	p.calls++
	next := p.pages[0]
	if len(p.pages) > 1 {
		p.pages = p.pages[1:]
	}
	return next, nil
}

// All pages of an update must be read at once: a worker got new tasks 5 s after it had started to
// drain.
func TestRosterIsReadToItsEnd(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	worker := roster.Worker{ID: "a", Service: "desk", Capacity: resource.Amount{MilliCPU: 1000}}
	leaving := worker
	leaving.Draining = true
	p := &pagedRoster{pages: []roster.Change{
		{Workers: []roster.Worker{worker}, Version: 1, More: true},
		{Workers: []roster.Worker{worker}, Version: 2, More: true},
		{Workers: []roster.Worker{leaving}, Version: 3},
	}}
	o := New(cell.Settings{Term: 1}, store.Check{}, Deps{Roster: p, Log: log})
	o.readRoster(t.Context())
	if p.calls != 3 || o.rosterVersion != 3 {
		t.Errorf("%d calls up to version %d, want 3 up to version 3", p.calls, o.rosterVersion)
	}
}

// failingRoster cannot read its updates.
type failingRoster struct{ roster.Source }

func (failingRoster) Since(context.Context, uint64, time.Duration) (roster.Change, error) {
	return roster.Change{}, store.ErrUnknown
}

// The summary must show the age of the roster: an owner that had read no updates for 30 s logged
// nothing that showed it.
func TestOwnerReportsAgeOfItsUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, lines := logtest.NewNullLogger()
		o := New(cell.Settings{Term: 1}, store.Check{}, Deps{Log: log, Metrics: NewMetrics(metrics.NewSet())})
		o.deps.Roster = &pagedRoster{pages: []roster.Change{{Version: 1}}}
		o.readRoster(t.Context())
		o.deps.Roster = failingRoster{}
		time.Sleep(5 * time.Second)
		o.readRoster(t.Context())
		o.logSummary(time.Now())
		if got := lines.LastEntry().Data["workers_news_ms"]; got != int64(5000) || o.deps.Metrics.WorkersUpdateAge.Get() != 5 {
			t.Errorf("age of the workers: %v ms in the log, %v s in the metric", got, o.deps.Metrics.WorkersUpdateAge.Get())
		}
	})
}

// slowStore needs 3 s for each read, like a store with large partitions over a slow link.
type slowStore struct{ store.Store }

func (slowStore) Read(ctx context.Context, _, _, _ string) (store.Page, error) {
	select {
	case <-time.After(3 * time.Second):
		return store.Page{Version: 9}, nil
	case <-ctx.Done():
		return store.Page{}, store.ErrUnknown
	}
}

// A full read must not time out on a slow link: the owner would see no new job and read all jobs
// again and again.
func TestAllJobsAreReadOverASmallLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, _ := logtest.NewNullLogger()
		o := New(cell.Settings{Term: 1}, store.Check{}, Deps{Jobs: celljobs.New(store.NewMonitored(slowStore{}), "cell"), Log: log})
		o.reloadJobs(t.Context())
		if o.jobsVersion != 9 {
			t.Errorf("jobs known up to version %d, want 9", o.jobsVersion)
		}
	})
}
