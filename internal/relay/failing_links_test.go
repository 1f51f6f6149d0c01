package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"gentianstand/internal/cellpeer"
	"gentianstand/internal/runner"
)

// muteRelay accepts links and never sends a frame. It returns its address.
func muteRelay(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				if _, err := io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n"); err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, in) // ends with the connection
			}()
		}
	}()
	return listener.Addr().String()
}

// firstRelays returns the names of the first relays of w1.
func firstRelays(f *fleet, n int) []string {
	var names []string
	for _, i := range Rank(w1.ID, w1.Zone, f.directory.Others())[:n] {
		names = append(names, i.Name)
	}
	return names
}

// answeredShare polls workers as an owner does for a while, after a time in which the pool may find out
// which relays work. It returns the share of the answered polls of the worker that is reached worst.
func (f *fleet) answeredShare(t *testing.T, workers []runner.Target, settle, d time.Duration) float64 {
	t.Helper()
	counted := time.Now().Add(settle)
	end := counted.Add(d)
	var mu sync.Mutex
	worst := 1.0
	var polls sync.WaitGroup
	for _, w := range workers {
		polls.Go(func() {
			made, answered := 0, 0
			for time.Now().Before(end) {
				began := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
				_, err := f.pool.Poll(ctx, w, runner.Poll{Token: 1})
				cancel()
				if began.After(counted) {
					made++
					if err == nil {
						answered++
					}
				}
				time.Sleep(200 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			worst = min(worst, float64(answered)/float64(max(1, made)))
		})
	}
	polls.Wait()
	return worst
}

// Guards against workers that stay out of reach beside a working relay, because two others accept links
// and answer nothing: each new link counts as working for a second, and a worker's detour skips one relay
// only, so that its calls go from the first to the second and back.
func TestWorkersAreReachedBesideRelaysThatAcceptLinksAndAnswerNothing(t *testing.T) {
	for _, mute := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d of 5 relays", mute), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 5)
			for _, name := range firstRelays(f, mute) {
				place := slices.IndexFunc(f.directory.others, func(i cellpeer.Instance) bool { return i.Name == name })
				f.directory.others[place].Address = muteRelay(t)
			}
			f.runPool(t)
			if share := f.answeredShare(t, groupOfWorkers(20), 8*time.Second, 6*time.Second); share < 0.85 {
				t.Errorf("%.2f of the polls of a worker are answered, want nearly all", share)
			} else {
				t.Logf("%.2f of the polls of a worker are answered", share)
			}
		})
	}
}

// Guards against workers that stay out of reach because two relays receive nothing any more while their
// heartbeats still arrive.
func TestWorkersAreReachedWhenLinksLoseOneDirection(t *testing.T) {
	for _, lost := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d of 5 links", lost), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 5)
			f.runPool(t)
			workers := groupOfWorkers(20)
			f.openLinks(t)
			for _, name := range firstRelays(f, lost) {
				f.relays[name].proxy.Cut(true, false)
			}
			if share := f.answeredShare(t, workers, 8*time.Second, 6*time.Second); share < 0.85 {
				t.Errorf("%.2f of the polls of a worker are answered, want nearly all", share)
			} else {
				t.Logf("%.2f of the polls of a worker are answered", share)
			}
		})
	}
}

// Guards against a call without a deadline, as throttle orders are, that waits for good on the silent link
// to a relay that was lost. The owner then takes its order for carried out and never repeats it.
func TestThrottleOrderOnALinkToALostRelayEnds(t *testing.T) {
	for _, listed := range []bool{true, false} {
		t.Run(fmt.Sprintf("relay still listed %v", listed), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 3)
			f.runPool(t)
			f.openLinks(t)
			first := f.pool.route(w1, time.Now()).link
			f.relays[first.peer.Name].proxy.SilenceOpen()
			f.relays[first.peer.Name].proxy.Cut(true, true)
			done := make(chan error, 1)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go func() {
				_, err := f.pool.Throttle(ctx, w1, runner.Throttle{Task: "a", Run: 1, Token: 1, Percent: 100})
				done <- err
			}()
			if !listed {
				f.directory.mu.Lock()
				f.directory.others = slices.DeleteFunc(f.directory.others, func(i cellpeer.Instance) bool { return i.Name == first.peer.Name })
				f.directory.mu.Unlock()
			}
			for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				_ = f.pool.route(runner.Target{ID: "w-2", Zone: "a"}, time.Now()) // another worker's call
				select {
				case err := <-done:
					t.Logf("ended with %v", err)
					return
				default:
				}
			}
			t.Errorf("the call still waits after 15 s; the link is in state %d", first.state(time.Now()))
		})
	}
}

// partlyDead are workers of which some are lost: calls to these wait for their context.
type partlyDead struct {
	fakeWorkers
	dead map[string]bool
}

func (p *partlyDead) Poll(ctx context.Context, w runner.Target, l runner.Poll) (runner.Report, error) {
	if p.dead[w.ID] {
		ctx, cancel := context.WithTimeout(ctx, 800*time.Millisecond+l.Wait)
		defer cancel()
		<-ctx.Done()
		return runner.Report{}, fmt.Errorf("%w: %w", runner.ErrNoAnswer, ctx.Err())
	}
	return p.fakeWorkers.Poll(ctx, w, l)
}

// Guards against workers that answer, but are not reached for long because calls to lost workers take all
// direct calls.
func TestLostWorkersDoNotKeepOthersFromDirectCalls(t *testing.T) {
	for _, size := range []struct{ dead, live int }{{50, 5}, {300, 3}, {340, 1}} {
		t.Run(fmt.Sprintf("%d of %d workers lost", size.dead, size.dead+size.live), func(t *testing.T) {
			f := newFleet(t, 1)
			f.pool.dial = func(ctx context.Context, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			workers := groupOfWorkers(size.dead + size.live)
			direct := &partlyDead{dead: map[string]bool{}}
			for _, w := range workers[:size.dead] {
				direct.dead[w.ID] = true
			}
			f.pool.workers = direct
			f.runPool(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var loops sync.WaitGroup
			for _, w := range workers[:size.dead] {
				loops.Go(func() {
					for ctx.Err() == nil {
						callCtx, cancel := context.WithTimeout(ctx, 800*time.Millisecond)
						_, _ = f.pool.Poll(callCtx, w, runner.Poll{Token: 1}) // the worker is lost
						cancel()
						time.Sleep(200 * time.Millisecond)
					}
				})
			}
			f.awaitReached(t, workers[size.dead:])
			cancel()
			loops.Wait()
		})
	}
}

// Guards against a link that ends with its calls although its frames arrive again, because the attempt to
// replace it was refused.
func TestLinkThatWorksAgainIsKeptWhenItsReplacementIsRefused(t *testing.T) {
	f := newFleet(t, 1)
	link := f.openLinks(t)[0]
	refuse, dialing := make(chan struct{}), make(chan struct{})
	f.pool.mu.Lock()
	f.pool.dial = func(context.Context, string) (net.Conn, error) {
		close(dialing)
		<-refuse
		return nil, syscall.ECONNREFUSED
	}
	f.pool.mu.Unlock()
	f.pool.scan(time.Now().Add(2 * unresponsiveAfter)) // frames were late
	<-dialing
	if got := link.do(within(t), callTo(w1, startOf("a", 1))); got.err != nil {
		t.Fatal(got.err)
	}
	if got := link.state(time.Now()); got != linkReady {
		t.Fatalf("state %d", got)
	}
	close(refuse)
	f.awaitLosses(1)
	time.Sleep(50 * time.Millisecond) // replacementEnded ends the link after it has counted the loss
	if !accepts(link) {
		t.Error("a link on which frames arrive has ended")
	}
}

// Guards against links that end because this instance's own machine opens no connections: such an error
// says nothing about the relay.
func TestSilentLinksAreKeptWhenThisMachineOpensNoConnections(t *testing.T) {
	for _, why := range []error{syscall.ENETUNREACH, syscall.EMFILE, syscall.EADDRNOTAVAIL} {
		t.Run(why.Error(), func(t *testing.T) {
			f := newFleet(t, 1)
			link := f.openLinks(t)[0]
			f.pool.mu.Lock()
			f.pool.dial = func(context.Context, string) (net.Conn, error) {
				return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: os.NewSyscallError("connect", why)}
			}
			f.pool.mu.Unlock()
			f.pool.scan(time.Now().Add(2 * unresponsiveAfter))
			f.awaitLosses(1)
			time.Sleep(50 * time.Millisecond) // replacementEnded ends the link after it has counted the loss
			if !accepts(link) {
				t.Error("the link has ended")
			}
		})
	}
}

// awaitLosses waits until the backoff of edge-0 counts n losses.
func (f *fleet) awaitLosses(n int) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		f.pool.mu.Lock()
		got := f.pool.backoffs["edge-0"].losses
		f.pool.mu.Unlock()
		if got >= n {
			return
		}
	}
}

// awaitPause waits until edge-0 is avoided.
func (f *fleet) awaitPause() {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		f.pool.mu.Lock()
		got := f.pool.backoffs["edge-0"].until
		f.pool.mu.Unlock()
		if got.After(time.Now()) {
			return
		}
	}
}

// Guards against a relay that is avoided for the longest time after one failed attempt, because failures of
// long ago still count although its link has worked in between.
func TestFailedReplacementsOfLongAgoDoNotCount(t *testing.T) {
	f := newFleet(t, 1)
	dial := f.pool.dial
	setDial := func(d dialFunc) {
		f.pool.mu.Lock()
		defer f.pool.mu.Unlock()
		f.pool.dial = d
	}
	link := f.openLinks(t)[0]
	// fail makes one attempt to replace the link fail.
	fail := func() {
		setDial(func(context.Context, string) (net.Conn, error) { return nil, context.DeadlineExceeded })
		f.pool.mu.Lock()
		b := f.pool.backoffs["edge-0"]
		b.until = time.Time{}
		f.pool.backoffs["edge-0"] = b
		f.pool.mu.Unlock()
		f.pool.scan(time.Now().Add(2 * unresponsiveAfter))
		f.awaitPause()
		setDial(dial)
	}
	for range 5 {
		fail()
	}
	// The link works for a long time.
	link.mu.Lock()
	link.openedAt = time.Now().Add(-time.Hour)
	link.mu.Unlock()
	if got := link.do(within(t), callTo(w1, startOf("a", 1))); got.err != nil {
		t.Fatal(got.err)
	}
	fail()
	f.pool.mu.Lock()
	pause := time.Until(f.pool.backoffs["edge-0"].until)
	f.pool.mu.Unlock()
	if pause > 2*minBackoff {
		t.Errorf("after an hour without a loss the relay is avoided for %v", pause)
	}
}

// Guards against a relay that keeps the descriptors, goroutines and calls of links that went silent.
func TestRelayEndsLinksThatWentSilent(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.runPool(t)
	f.awaitReached(t, groupOfWorkers(1))
	server := f.relays["edge-0"].server
	count := func() int {
		server.mu.Lock()
		defer server.mu.Unlock()
		return len(server.sessions)
	}
	for range 3 {
		links := f.pool.allLinks()
		f.lose(1, false)
		f.awaitReached(t, groupOfWorkers(1))
		f.awaitReplaced(t, links, []string{"edge-0"})
	}
	for end := time.Now().Add(20 * time.Second); count() > 1 && time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		_ = f.poll(t) // keeps the current link in use
	}
	if n := count(); n > 1 {
		t.Errorf("the relay holds %d links of an owner that uses one", n)
	}
}

// Load: all relays of a large fleet are lost at once, for an owner with open links and for a new one.
func TestLargeFleetIsReachedWhenAllRelaysAreLost(t *testing.T) {
	for _, survivors := range []int{0, 1} {
		t.Run(fmt.Sprintf("%d of 96 relays left", survivors), func(t *testing.T) {
			d := &fakeDirectory{}
			s := newSite(t)
			for i := range 96 {
				d.others = append(d.others, cellpeer.Instance{Name: fmt.Sprintf("edge-%02d", i), Zone: string(rune('a' + i%8)), Address: fmt.Sprintf("10.0.0.%d:1", i), Incarnation: "1"})
			}
			f := &fleet{directory: d, direct: &fakeWorkers{}}
			f.pool = NewPool(d, f.direct, logger(t))
			f.pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
				if survivors == 1 && address == "10.0.0.0:1" {
					return dialRelay(ctx, s.proxy.Address())
				}
				<-ctx.Done()
				return nil, ctx.Err()
			}
			f.runPool(t)
			workers := groupOfWorkers(350)
			for i := range workers {
				workers[i].Zone = string(rune('a' + i%8))
			}
			f.awaitReached(t, workers)
		})
	}
}

// Guards against an order that counts as not sent although it may have been carried out.
func TestStartOnALinkThatWasReplacedMayHaveBeenCarriedOut(t *testing.T) {
	f := newFleet(t, 1)
	f.runPool(t)
	f.openLinks(t)
	site := f.relays["edge-0"]
	site.workers.hang = true
	f.direct.fail = &runner.Refusal{Reason: runner.Unhealthy}
	done := make(chan error, 1)
	go func() { done <- f.start(t) }()
	for end := time.Now().Add(20 * time.Second); len(site.workers.started()) < 2 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	f.lose(1, false)
	if err := <-done; !errors.Is(err, runner.ErrNoAnswer) {
		t.Errorf("got %v", err)
	}
}
