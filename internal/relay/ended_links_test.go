package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"slices"
	"syscall"
	"testing"
	"time"

	"gentianstand/internal/cellpeer"
	"gentianstand/internal/runner"
)

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
