package store

import (
	"context"
	"time"
)

const (
	// probePeriod is how often a lost store is asked whether it is back.
	probePeriod = 250 * time.Millisecond
	// probeTimeout bounds one such question: a store may have come back slow, and the next
	// question goes out meanwhile.
	probeTimeout = 800 * time.Millisecond
)

// ProbeRecovery asks a lost store for a row, until ctx ends, so that its return is known
// soon and callers are not refused needlessly. Where calls fail at once there are others
// that ask often enough.
func (w *Monitored) ProbeRecovery(ctx context.Context, table, partition, key string) {
	ticker := time.NewTicker(probePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if w.shouldProbe(now) {
				go w.probe(ctx, table, partition, key)
			}
		}
	}
}

// shouldProbe reports whether the store is lost and no call has ended lately.
func (w *Monitored) shouldProbe(now time.Time) bool {
	if w.UnreachableFor(now) == 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.endedAt) >= probePeriod
}

// probe makes one call that teaches nothing but whether the store answers.
func (w *Monitored) probe(ctx context.Context, table, partition, key string) {
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := w.Store.Get(callCtx, table, partition, key); err == nil {
		w.recordResult(callCtx, time.Now(), nil)
	}
}
