package cellowner

import (
	"context"
	"fmt"
	"math/rand"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"gentianstand/internal/advice"
	"gentianstand/internal/catalog"
	"gentianstand/internal/cell"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/job"
	"gentianstand/internal/resource"
	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
	"gentianstand/internal/store"
)

// nullStore stores nothing and answers at once.
type nullStore struct{ store.Store }

func (nullStore) Commit(context.Context, store.Tx) (uint64, error) { return 1, nil }
func (nullStore) Get(context.Context, string, string, string) (store.Row, error) {
	return store.Row{}, nil
}
func (nullStore) Read(context.Context, string, string, string) (store.Page, error) {
	return store.Page{Version: 1}, nil
}
func (nullStore) Changes(_ context.Context, _ string, _ uint64, _ time.Duration) (store.Page, error) {
	return store.Page{Version: 1}, nil
}

// fixedRoster always lists the same workers.
type fixedRoster []roster.Worker

func (r fixedRoster) All(context.Context) (roster.Change, error) {
	return roster.Change{Workers: r, Version: 1}, nil
}
func (r fixedRoster) Since(context.Context, uint64, time.Duration) (roster.Change, error) {
	return roster.Change{Version: 1}, nil
}

// timedWorkers run every task for the duration in its spec.
type timedWorkers struct {
	began time.Time
	mu    sync.Mutex
	byID  map[string]*timedWorker
}

type timedWorker struct {
	mu       sync.Mutex
	runs     map[string]uint64
	ends     []runner.End
	sequence uint64
	changed  chan struct{}
}

func (w *timedWorkers) get(id string) *timedWorker {
	w.mu.Lock()
	defer w.mu.Unlock()
	one := w.byID[id]
	if one == nil {
		one = &timedWorker{runs: map[string]uint64{}, changed: make(chan struct{})}
		w.byID[id] = one
	}
	return one
}

func (w *timedWorkers) clock() time.Duration { return time.Since(w.began) }

func (w *timedWorkers) Poll(ctx context.Context, t runner.Target, l runner.Poll) (runner.Report, error) {
	one := w.get(t.ID)
	report, changed := one.report(l.Acknowledged, w.clock())
	if len(report.Ended) == 0 && l.Wait > 0 {
		timer := time.NewTimer(l.Wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-changed:
		}
		report, _ = one.report(l.Acknowledged, w.clock())
	}
	return report, nil
}

func (w *timedWorker) report(acknowledged uint64, clock time.Duration) (runner.Report, <-chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.ends) > 0 && w.ends[0].Sequence <= acknowledged {
		w.ends = w.ends[1:]
	}
	r := runner.Report{Clock: clock, Ended: append([]runner.End(nil), w.ends...)}
	for task, run := range w.runs {
		r.Running = append(r.Running, runner.RunState{Task: task, Run: run, Percent: 50, Gauge: 100})
	}
	return r, w.changed
}

func (w *timedWorkers) Start(_ context.Context, t runner.Target, s runner.Start) (runner.Answer, error) {
	one := w.get(t.ID)
	takes, err := time.ParseDuration(string(s.Spec))
	if err != nil {
		return runner.Answer{}, &runner.Refusal{Reason: runner.Malformed}
	}
	one.mu.Lock()
	one.runs[s.Task] = s.Run
	one.mu.Unlock()
	time.AfterFunc(takes, func() { one.end(s.Task, s.Run) })
	return runner.Answer{Clock: w.clock()}, nil
}

func (w *timedWorker) end(task string, run uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[task] != run {
		return
	}
	delete(w.runs, task)
	w.sequence++
	w.ends = append(w.ends, runner.End{Sequence: w.sequence, Task: task, Run: run, Kind: runner.Done})
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *timedWorkers) Stop(_ context.Context, t runner.Target, s runner.Stop) (runner.Answer, error) {
	w.get(t.ID).end(s.Task, s.Run)
	return runner.Answer{Clock: w.clock()}, nil
}

func (w *timedWorkers) Throttle(context.Context, runner.Target, runner.Throttle) (runner.Answer, error) {
	return runner.Answer{Clock: w.clock()}, nil
}

// timedAdvisers allow 2 of 3 workers, and take as long as the real adviser.
type timedAdvisers struct {
	mu   sync.Mutex
	busy int
}

func (a *timedAdvisers) Slots() cell.AdviceSlots {
	a.mu.Lock()
	defer a.mu.Unlock()
	return cell.AdviceSlots{Quick: max(0, 64-a.busy), Any: max(0, 64-a.busy)}
}
func (a *timedAdvisers) Reserve(cell.AdviceOrder) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.busy++
}
func (a *timedAdvisers) Ask(_ context.Context, o cell.AdviceOrder) ([]advice.Ticket, error) {
	time.Sleep(o.Cost.Duration(len(o.Workers)))
	a.mu.Lock()
	a.busy--
	a.mu.Unlock()
	var tickets []advice.Ticket
	for i, w := range o.Workers {
		if i%3 > 0 {
			tickets = append(tickets, advice.Ticket{Worker: w, Text: "0123456789abcdef"})
		}
	}
	return tickets, nil
}

// BenchmarkOwnerAtPeak measures an owner of 540 workers that places 100 jobs per second, with
// about 8 tasks of 0.64 s in 1.6 steps each. It reports the CPU time of the whole process per
// start, including that of the simulated workers.
func BenchmarkOwnerAtPeak(b *testing.B) {
	const perSecond = 100
	log, _ := logtest.NewNullLogger()
	log.SetLevel(logrus.ErrorLevel)
	workers := &timedWorkers{began: time.Now(), byID: map[string]*timedWorker{}}
	var list fixedRoster
	for i := range 540 {
		list = append(list, roster.Worker{ID: fmt.Sprintf("%016x", i*7919), Address: "10.0.0.1:80", Zone: "a", Service: "desk",
			Capacity: resource.Amount{MilliCPU: 16000, MemoryMiB: 65536}, Labels: []string{"a", fmt.Sprintf("r-%d", i/8)}, Rack: fmt.Sprintf("r-%d", i/8)})
	}
	m := NewMetrics(metrics.NewSet())
	ctx, cancel := context.WithCancel(b.Context())
	o := New(cell.Settings{Term: 1, Lease: 3500 * time.Millisecond, PreviousOwnerStopped: true, StopGrace: 900 * time.Millisecond, SpareWorkers: 128, RemoteDataFactor: 3},
		store.Check{}, Deps{Store: nullStore{}, Jobs: celljobs.New(store.NewMonitored(nullStore{}), "cell"), Roster: list, Runner: workers,
			Advisers: &timedAdvisers{}, Catalog: (&catalog.Current{}).Get, Leadership: confirmedLeadership{}, Metrics: m, Log: log})
	loaded := make(chan struct{})
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := o.Run(ctx, func() { close(loaded) }); err != nil {
			b.Error(err)
		}
	}()
	<-loaded
	time.Sleep(500 * time.Millisecond)
	random := rand.New(rand.NewSource(1))
	before, startsBefore, began := cpuTime(b), m.Starts.Get(), time.Now()
	b.ResetTimer()
	for i := range b.N {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / perSecond)))
		steps := []job.Step{{Count: 3 + random.Intn(10), Need: resource.Amount{MilliCPU: 3600, MemoryMiB: 7300}, Estimate: 640 * time.Millisecond}}
		if random.Intn(10) < 6 {
			next := steps[0]
			next.DependsOn = []int{0}
			steps = append(steps, next)
		}
		o.Submitted(&job.Record{ID: fmt.Sprintf("%016x", i), Queue: "q", Service: "desk", MaxAttempts: 3, Stretch: 1.5, AcceptedAt: time.Now(),
			Spec: "640ms", Steps: steps, Advice: &job.AdviceCost{PerCall: 36 * time.Millisecond, PerWorker: 520 * time.Microsecond, TicketTTL: 2500 * time.Millisecond}})
	}
	b.StopTimer()
	starts := float64(m.Starts.Get() - startsBefore)
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/starts, "cpu-µs/start")
	b.ReportMetric(starts/time.Since(began).Seconds(), "starts/s")
	cancel()
	<-done
}

// cpuTime returns the CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
