package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"gentianstand/internal/runner"
)

// fakeWorkers records the calls that reach workers.
type fakeWorkers struct {
	mu     sync.Mutex
	starts []runner.Start
	stops  []runner.Stop
	polls  int
	// lastPoll is the last poll.
	lastPoll runner.Poll
	// hang makes starts wait until their context ends, and over counts those that have
	// returned then. fail is the error that starts return.
	hang bool
	over int
	fail error
}

func (f *fakeWorkers) Poll(_ context.Context, w runner.Target, l runner.Poll) (runner.Report, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.polls++
	f.lastPoll = l
	return runner.Report{Incarnation: w.Incarnation, Clock: 1234 * time.Millisecond, Ended: []runner.End{},
		Running: []runner.RunState{{Task: w.ID + "-task", Run: l.Token, Checkpoint: "s", Percent: f.polls, Gauge: 17}}}, nil
}

func (f *fakeWorkers) Start(ctx context.Context, _ runner.Target, s runner.Start) (runner.Answer, error) {
	f.mu.Lock()
	f.starts = append(f.starts, s)
	hang, fail := f.hang, f.fail
	f.mu.Unlock()
	if hang {
		<-ctx.Done()
		time.Sleep(20 * time.Millisecond) // a worker's connection takes a while to close
		f.mu.Lock()
		f.over++
		f.mu.Unlock()
		return runner.Answer{}, errors.Join(runner.ErrNoAnswer, ctx.Err())
	}
	return runner.Answer{Clock: time.Second}, fail
}

func (f *fakeWorkers) Stop(_ context.Context, _ runner.Target, s runner.Stop) (runner.Answer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stops = append(f.stops, s)
	return runner.Answer{Clock: time.Second}, nil
}

func (f *fakeWorkers) Throttle(context.Context, runner.Target, runner.Throttle) (runner.Answer, error) {
	return runner.Answer{}, nil
}

func (f *fakeWorkers) started() []runner.Start {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]runner.Start(nil), f.starts...)
}
