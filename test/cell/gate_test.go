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

var errCut = errors.New("no connection")

// gate is what every message of one member passes: it can be frozen, cut off
// from some targets, or dead, and delays messages at random.
type gate struct {
	mu     sync.Mutex
	random *rand.Rand
	frozen chan struct{}
	dead   chan struct{}
	cuts   map[string]bool
	// steady takes the random out of delays, for tests that measure.
	steady bool
}

func newGate(seed uint64) *gate {
	return &gate{random: rand.New(rand.NewPCG(seed, 1)), dead: make(chan struct{}), cuts: map[string]bool{}}
}

// pass waits as long as a message to target takes; an error means that it is
// not delivered. A message of a frozen member is delivered when it thaws, as
// late as that is, unless the member dies before.
func (g *gate) pass(ctx context.Context, target string) error {
	g.mu.Lock()
	frozen, cut, delay := g.frozen, g.cuts[target], g.delay()
	g.mu.Unlock()
	if frozen != nil {
		select {
		case <-frozen:
		case <-g.dead:
			return errCut
		}
	}
	if cut {
		return errCut
	}
	select {
	case <-g.dead:
		return errCut
	case <-time.After(delay):
	}
	return nil
}

// delay is a millisecond or two, and now and then far more than any timeout.
func (g *gate) delay() time.Duration {
	if g.steady {
		return time.Millisecond
	}
	if g.random.IntN(100) == 0 {
		return time.Duration(g.random.IntN(4000)) * time.Millisecond
	}
	return time.Duration(500+g.random.IntN(2000)) * time.Microsecond
}

func (g *gate) setSteady() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.steady = true
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == nil {
		g.frozen = make(chan struct{})
	}
}

func (g *gate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

func (g *gate) kill() { close(g.dead) }

func (g *gate) setCut(target string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cuts[target] = cut
}

func (g *gate) heal() {
	g.thaw()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cuts = map[string]bool{}
}

// within runs f, which may be delivered late, but returns to the caller when
// its patience ends: a message is not taken back by giving up on its answer.
func within[T any](ctx context.Context, patience time.Duration, f func() (T, error)) (T, error) {
	type result struct {
		value T
		err   error
	}
	done := make(chan result, 1)
	go func() {
		v, err := f()
		done <- result{v, err}
	}()
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case r := <-done:
		return r.value, r.err
	case <-timer.C:
	case <-ctx.Done():
	}
	var none T
	return none, errCut
}
