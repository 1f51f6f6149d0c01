package store

import (
	"context"
	"time"
)

const (
	// probePeriod is the interval between probes of an unreachable store.
	probePeriod = 250 * time.Millisecond
	// probeTimeout bounds one probe. It is longer than probePeriod, because a store may be
	// slow after an outage; the next probe is sent in the meantime.
	probeTimeout = 800 * time.Millisecond
)

// ProbeRecovery reads a row periodically while the store is unreachable, until ctx ends, so
// that the end of an outage is detected soon and callers are not refused longer than needed.
// It sends no probes while other calls keep ending (for example fail at once): those detect
// the recovery themselves.
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

// shouldProbe reports whether the store is unreachable and no call has ended within the last
// probePeriod.
func (w *Monitored) shouldProbe(now time.Time) bool {
	if w.UnreachableFor(now) == 0 {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return now.Sub(w.endedAt) >= probePeriod
}

// probe makes one call and records only whether the store answers; it doesn't affect the
// adaptive timeout.
func (w *Monitored) probe(ctx context.Context, table, partition, key string) {
	callCtx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if _, err := w.Store.Get(callCtx, table, partition, key); err == nil {
		w.recordResult(callCtx, time.Now(), nil)
	}
}
