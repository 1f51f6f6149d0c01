// Package cell runs whole instances, without sockets, over small fakes and a
// controlled clock, through random sequences of failures.
package cell

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"
)

var errUnreachable = errors.New("no connection")

// link delivers all messages of one member. It can be frozen, cut off from some targets, or dead,
// and delays messages at random.
type link struct {
	mu     sync.Mutex
	random *rand.Rand
	frozen chan struct{}
	dead   chan struct{}
	cuts   map[string]bool
	// fixedDelay makes all delays equal, for tests that measure times.
	fixedDelay bool
}

func newLink(seed uint64) *link {
	return &link{random: rand.New(rand.NewPCG(seed, 1)), dead: make(chan struct{}), cuts: map[string]bool{}}
}

// deliver waits for the delay of a message to target; an error means that it is not delivered. A
// message of a frozen member is delivered after the thaw, however late that is, unless the member
// dies before.
func (g *link) deliver(ctx context.Context, target string) error {
	g.mu.Lock()
	frozen, cut, delay := g.frozen, g.cuts[target], g.delay()
	g.mu.Unlock()
	if frozen != nil {
		select {
		case <-frozen:
		case <-g.dead:
			return errUnreachable
		}
	}
	if cut {
		return errUnreachable
	}
	select {
	case <-g.dead:
		return errUnreachable
	case <-time.After(delay):
	}
	return nil
}

// delay returns 0.5 to 2.5 ms, and for one message in 100 a delay of up to 4 s, which may exceed
// any timeout.
func (g *link) delay() time.Duration {
	if g.fixedDelay {
		return time.Millisecond
	}
	if g.random.IntN(100) == 0 {
		return time.Duration(g.random.IntN(4000)) * time.Millisecond
	}
	return time.Duration(500+g.random.IntN(2000)) * time.Microsecond
}

func (g *link) setFixedDelay() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fixedDelay = true
}

func (g *link) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == nil {
		g.frozen = make(chan struct{})
	}
}

func (g *link) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

func (g *link) kill() { close(g.dead) }

func (g *link) setCut(target string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cuts[target] = cut
}

func (g *link) restore() {
	g.thaw()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cuts = map[string]bool{}
}

// withTimeout runs f, which may be delivered late, but returns to the caller after timeout. Timing
// out does not withdraw the message.
func withTimeout[T any](ctx context.Context, timeout time.Duration, f func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	go func() {
		v, err := f()
		done <- result{v, err}
	}()
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case r := <-done:
		return r.value, r.err
	case <-timer.C:
	case <-ctx.Done():
	}
	var none T
	return none, errUnreachable
}
