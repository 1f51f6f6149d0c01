package relay

import (
	"context"
	"errors"
	"sync"
	"time"

	"gentianstand/internal/runner"
)

// directCalls limits the calls that an owner makes to workers itself because it reaches no relay. Either
// the relays are lost, and the workers answer, or the owner's own network is cut or saturated, and more
// calls would keep it saturated. A few calls show which of the two it is. It is safe for concurrent use.
type directCalls struct {
	mu sync.Mutex
	// answeredAt is when a worker last answered a direct call.
	answeredAt time.Time
	inProgress int
	// changed is closed when a call ends.
	changed chan struct{}
}

func newDirectCalls() *directCalls { return &directCalls{changed: make(chan struct{})} }

// begin counts a call that may be made now. proven reports that direct calls are being answered.
func (d *directCalls) begin(now time.Time) (proven, admitted bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	proven = now.Sub(d.answeredAt) < directProofPeriod
	if !proven && d.inProgress >= maxUnprovenCalls {
		return false, false
	}
	d.inProgress++
	return proven, true
}

// end records the result of a call that begin has admitted.
func (d *directCalls) end(err error, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.inProgress--
	if isAnswer(err) {
		d.answeredAt = now
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// await waits until another call has ended, at most for directRetryPeriod, as a link may work again. It
// returns the error of ctx if that ends first.
func (d *directCalls) await(ctx context.Context) error {
	d.mu.Lock()
	changed := d.changed
	d.mu.Unlock()
	timer := time.NewTimer(directRetryPeriod)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
	case <-timer.C:
	}
	return nil
}

// isAnswer reports whether the result of a call shows that a worker was reached.
func isAnswer(err error) bool {
	var refusal *runner.Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason != runner.Unhealthy
	}
	return err == nil || errors.Is(err, runner.ErrIncarnationGone)
}
