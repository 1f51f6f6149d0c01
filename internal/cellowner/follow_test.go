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

// paged is a roster whose news comes in pages.
type paged struct {
	roster.Source
	pages []roster.Change
	calls int
}

func (p *paged) Since(context.Context, uint64, time.Duration) (roster.Change, error) {
	p.calls++
	next := p.pages[0]
	if len(p.pages) > 1 {
		p.pages = p.pages[1:]
	}
	return next, nil
}

// Failure: a worker got new tasks five seconds after it had said that it leaves.
func TestRosterIsReadToItsEnd(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	worker := roster.Worker{ID: "a", Service: "desk", Capacity: resource.Amount{MilliCPU: 1000}}
	leaving := worker
	leaving.Draining = true
	p := &paged{pages: []roster.Change{
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

// mute is a roster whose news cannot be read.
type mute struct{ roster.Source }

func (mute) Since(context.Context, uint64, time.Duration) (roster.Change, error) {
	return roster.Change{}, store.ErrUnknown
}

// An owner that reads no news of its workers says so: nothing in its log had told that it
// knew them as they were half a minute before.
func TestOwnerTellsHowOldItsNewsIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, lines := logtest.NewNullLogger()
		o := New(cell.Settings{Term: 1}, store.Check{}, Deps{Log: log, Metrics: NewMetrics(metrics.NewSet())})
		o.deps.Roster = &paged{pages: []roster.Change{{Version: 1}}}
		o.readRoster(t.Context())
		o.deps.Roster = mute{}
		time.Sleep(5 * time.Second)
		o.readRoster(t.Context())
		o.summarize(time.Now())
		if got := lines.LastEntry().Data["workers_news_ms"]; got != int64(5000) || o.deps.Metrics.WorkersUpdateAge.Get() != 5 {
			t.Errorf("the news of workers is %v ms old, by the metric %v s", got, o.deps.Metrics.WorkersUpdateAge.Get())
		}
	})
}

// wide is a store with much in each partition.
type wide struct{ store.Store }

func (wide) Read(ctx context.Context, _, _, _ string) (store.Page, error) {
	select {
	case <-time.After(3 * time.Second):
		return store.Page{Version: 9}, nil
	case <-ctx.Done():
		return store.Page{}, store.ErrUnknown
	}
}

// Failure: an owner on a small link hears of no new job, and reads all jobs again and
// again.
func TestAllJobsAreReadOverASmallLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, _ := logtest.NewNullLogger()
		o := New(cell.Settings{Term: 1}, store.Check{}, Deps{Jobs: celljobs.New(store.NewMonitored(wide{}), "cell"), Log: log})
		o.reloadJobs(t.Context())
		if o.jobsVersion != 9 {
			t.Errorf("jobs are known up to version %d", o.jobsVersion)
		}
	})
}
