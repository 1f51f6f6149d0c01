package relay

import (
	"context"
	"errors"
	"fmt"
	"time"

	"gentianstand/internal/runner"
)

// do makes a call and waits for its result, at most until ctx ends.
func (l *Link) do(ctx context.Context, c *call) result {
	if !l.enqueue(ctx, c) {
		return result{err: errNotSent}
	}
	select {
	case got := <-c.result:
		return got
	case <-ctx.Done():
		return l.abandon(c, ctx.Err())
	}
}

// enqueue queues a call for writing. It returns false if the link accepts no calls.
func (l *Link) enqueue(ctx context.Context, c *call) bool {
	now := time.Now()
	c.queuedAt, c.written, c.result = now, false, make(chan result, 1)
	if deadline, ok := ctx.Deadline(); ok {
		c.deadline = deadline
	} else {
		c.deadline = now.Add(openWait)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended || l.leaving {
		return false
	}
	l.lastUsedAt = now
	l.queue = append(l.queue, c)
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return true
}

// abandon stops waiting for a call. A call that was not written yet is certain to have no
// effect.
func (l *Link) abandon(c *call, why error) result {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, c.Number)
	if !c.written {
		c.deadline = time.Time{}
		return result{err: fmt.Errorf("%w: %w", &runner.Refusal{Reason: runner.Unhealthy}, why)}
	}
	if errors.Is(why, context.DeadlineExceeded) {
		l.unanswered++
	}
	return result{err: fmt.Errorf("%w: %w", runner.ErrNoAnswer, why)}
}
