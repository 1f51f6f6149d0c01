package relay

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"gentianstand/internal/runner"
)

// groupOfWorkers are workers that are reached through all relays of a fleet.
func groupOfWorkers(n int) []runner.Target {
	var list []runner.Target
	for i := range n {
		list = append(list, runner.Target{ID: fmt.Sprintf("w-%d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), Zone: "a"})
	}
	return list
}

// runPool lets the fleet's pool watch its links until the test ends.
func (f *fleet) runPool(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { f.pool.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		running.Wait()
	})
}

// lose silences some of the relays, those in use first. If for good, new connections to them get no
// answer, either. It returns their names.
func (f *fleet) lose(n int, forGood bool) []string {
	names := slices.Sorted(maps.Keys(f.relays))
	for _, l := range f.pool.allLinks() {
		names = append([]string{l.peer.Name}, slices.DeleteFunc(names, func(name string) bool { return name == l.peer.Name })...)
	}
	for _, name := range names[:n] {
		proxy := f.relays[name].proxy
		proxy.SilenceOpen()
		if forGood {
			proxy.Cut(true, true)
		}
	}
	return names[:n]
}

// awaitReached polls the workers as an owner does until each has answered.
func (f *fleet) awaitReached(t *testing.T, workers []runner.Target) {
	t.Helper()
	began := time.Now()
	var polls sync.WaitGroup
	for _, w := range workers {
		polls.Go(func() {
			var err error
			for time.Since(began) < 10*time.Second {
				ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
				_, err = f.pool.Poll(ctx, w, runner.Poll{Token: 1})
				cancel()
				if err == nil {
					return
				}
				time.Sleep(10 * time.Millisecond)
			}
			t.Errorf("%s is not reached: %v", w.ID, err)
		})
	}
	polls.Wait()
	t.Logf("all reached after %v", time.Since(began))
}

// Guards against workers that stay out of reach for good because their relays' links went silent
// together with many others.
func TestWorkersAreReachedWhenLinksGoSilent(t *testing.T) {
	for n := 1; n <= 4; n++ {
		t.Run(fmt.Sprintf("%d of 4 links", n), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 4)
			f.runPool(t)
			workers := groupOfWorkers(20)
			for range 2 {
				links := f.openLinks(t)
				lost := f.lose(n, false)
				f.awaitReached(t, workers)
				f.awaitReplaced(t, links, lost)
			}
		})
	}
}

// awaitReplaced waits until the links to the lost relays have ended.
func (f *fleet) awaitReplaced(t *testing.T, links []*Link, lost []string) {
	t.Helper()
	for _, l := range links {
		if !slices.Contains(lost, l.peer.Name) {
			continue
		}
		select {
		case <-l.done:
		case <-time.After(20 * time.Second):
			t.Errorf("the silent link to %s is kept although new connections work", l.peer.Name)
		}
	}
}

// Guards against workers that stay out of reach because most of the relays were lost for good, for the
// owner as well as for a new one, which still knows all of them.
func TestWorkersAreReachedWhenRelaysAreLost(t *testing.T) {
	for n := 1; n <= 4; n++ {
		for _, opened := range []bool{true, false} {
			t.Run(fmt.Sprintf("%d of 4 relays, links open before %v", n, opened), func(t *testing.T) {
				t.Parallel()
				f := newFleet(t, 4)
				f.runPool(t)
				workers := groupOfWorkers(20)
				if opened {
					f.awaitReached(t, workers)
				}
				f.lose(n, true)
				f.awaitReached(t, workers)
			})
		}
	}
}

// Guards against workers that stay out of reach because the relay that lost power has been replaced by one
// at another address.
func TestSilentLinkIsReplacedByOneToTheCurrentAddress(t *testing.T) {
	f := newFleet(t, 1)
	f.runPool(t)
	f.awaitReached(t, groupOfWorkers(1))
	old := f.pool.allLinks()[0]
	f.lose(1, true)
	next := newSite(t)
	f.directory.mu.Lock()
	f.directory.others[0].Address, f.directory.others[0].Incarnation = next.proxy.Address(), "2"
	f.directory.mu.Unlock()
	f.direct.fail = runner.ErrNoAnswer
	f.awaitReached(t, groupOfWorkers(1))
	f.awaitReplaced(t, []*Link{old}, []string{"edge-0"})
}

// countingWorkers counts the calls that are in progress at the same time and answers none.
type countingWorkers struct {
	fakeWorkers
	mu          sync.Mutex
	calls, most int
}

func (c *countingWorkers) Start(ctx context.Context, _ runner.Target, _ runner.Start) (runner.Answer, error) {
	c.mu.Lock()
	c.calls++
	c.most = max(c.most, c.calls)
	c.mu.Unlock()
	<-ctx.Done()
	c.mu.Lock()
	c.calls--
	c.mu.Unlock()
	return runner.Answer{}, fmt.Errorf("%w: %w", runner.ErrNoAnswer, ctx.Err())
}

// Guards against an owner with a saturated network that ends its links, or calls every worker directly and
// so keeps the network saturated.
func TestSaturatedOwnerKeepsItsLinksAndMakesFewDirectCalls(t *testing.T) {
	f := newFleet(t, 3)
	direct := &countingWorkers{}
	f.pool.workers = direct
	links := f.openLinks(t)
	f.runPool(t)
	setDelay := func(d time.Duration) {
		for _, s := range f.relays {
			s.proxy.Delay(d)
		}
	}
	// Frames arrive every 1.6 s, and a new link takes longer than openTimeout.
	setDelay(unresponsiveAfter * 8 / 5)
	var callers sync.WaitGroup
	for _, w := range groupOfWorkers(40) {
		callers.Go(func() {
			for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
				ctx, cancel := context.WithTimeout(t.Context(), 700*time.Millisecond)
				_, err := f.pool.Start(ctx, w, runner.Start{Task: "a", Run: 1, Token: 1})
				cancel()
				if err == nil {
					continue
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	callers.Wait()
	if direct.most > maxUnprovenCalls {
		t.Errorf("%d direct calls at a time, want at most %d", direct.most, maxUnprovenCalls)
	}
	for _, l := range links {
		if !accepts(l) {
			t.Errorf("the link to %s has ended", l.peer.Name)
		}
	}
	setDelay(0)
	f.awaitReached(t, groupOfWorkers(40))
}

// Guards against an owner with a saturated network that calls every worker directly, because no relay of a
// worker has had an answer from it in time.
func TestWorkersWithoutAnAnswerThroughAnyRelayAreNotAllCalledDirectly(t *testing.T) {
	f := newFleet(t, 3)
	links := f.openLinks(t)
	for _, l := range links {
		f.pool.addDetour(w1, l)
	}
	if r := f.pool.route(w1, time.Now()); r.link != nil || r.own {
		t.Errorf("link %v, own %v, want a limited direct call", r.link, r.own)
	}
}

// Guards against calls that wait for a relay that was lost each time its link is opened again.
func TestCallsDoNotWaitForARelayThatWasLost(t *testing.T) {
	f := newFleet(t, 1)
	f.lose(1, true)
	if err := f.start(t); err != nil {
		t.Fatal(err)
	}
	f.pool.mu.Lock()
	f.pool.backoffs["edge-0"] = backoff{losses: 1, lost: true}
	f.pool.mu.Unlock()
	if r := f.pool.route(w1, time.Now()); r.link != nil {
		t.Error("a call waits for the link to a relay that was lost")
	}
	if len(f.pool.allLinks()) != 1 {
		t.Error("no link is opened in the background")
	}
}

// Guards against a link without calls that counts as silent, because its relay sends nothing before the
// first call.
func TestLinkWithoutCallsIsNotSilent(t *testing.T) {
	s := newSite(t)
	l := s.link(t)
	for end := time.Now().Add(20 * time.Second); l.state(time.Now()) != linkReady && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if got := l.state(time.Now().Add(2 * unresponsiveAfter)); got != linkReady {
		t.Errorf("state %d, want %d", got, linkReady)
	}
}

func TestDirectCallsAreLimitedUntilOneIsAnswered(t *testing.T) {
	d := newDirectCalls()
	now := time.Now()
	for i := range maxUnprovenCalls {
		if proven, admitted := d.begin(now); proven || !admitted {
			t.Fatalf("call %d: proven %v, admitted %v", i, proven, admitted)
		}
	}
	if _, admitted := d.begin(now); admitted {
		t.Error("one call too many is admitted")
	}
	for _, err := range []error{runner.ErrNoAnswer, &runner.Refusal{Reason: runner.Unhealthy}} {
		d.end(err, now)
		if proven, admitted := d.begin(now); proven || !admitted {
			t.Errorf("after %v: proven %v, admitted %v", err, proven, admitted)
		}
	}
	for _, err := range []error{nil, runner.ErrIncarnationGone, &runner.Refusal{Reason: runner.RunTooOld}} {
		now = now.Add(2 * directProofPeriod)
		d.end(err, now)
		for range 2 * maxUnprovenCalls {
			if proven, admitted := d.begin(now); !proven || !admitted {
				t.Errorf("after %v: proven %v, admitted %v", err, proven, admitted)
			}
		}
		for range 2*maxUnprovenCalls - 1 {
			d.end(runner.ErrNoAnswer, now)
		}
	}
	if _, admitted := d.begin(now.Add(directProofPeriod)); admitted && d.inProgress > maxUnprovenCalls {
		t.Error("answers of long ago admit further calls")
	}
}

// Guards against a call that waits for longer than its caller.
func TestWaitForADirectCallEndsWithItsCaller(t *testing.T) {
	d := newDirectCalls()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := d.await(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}
