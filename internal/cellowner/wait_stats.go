package cellowner

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"
)

const (
	// maxRecordedWait and waitPrecision are the largest wait and the number of significant digits
	// that the histograms of waits record, in milliseconds.
	maxRecordedWait = 10 * time.Minute
	waitPrecision   = 2
)

// waitStats records how long tasks waited for their first start since the last summary.
type waitStats struct {
	metrics *Metrics

	mu     sync.Mutex
	urgent *hdrhistogram.Histogram
	others *hdrhistogram.Histogram
}

func newWaitStats(m *Metrics) *waitStats {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, maxRecordedWait.Milliseconds(), waitPrecision)
	}
	return &waitStats{metrics: m, urgent: histogram(), others: histogram()}
}

// record adds one wait.
func (w *waitStats) record(priority int, wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	kind, total := w.others, w.metrics.WaitSeconds
	if priority <= 0 {
		kind, total = w.urgent, w.metrics.UrgentWaitSeconds
	}
	total.Update(wait.Seconds())
	_ = kind.RecordValue(min(wait, maxRecordedWait).Milliseconds()) // the value is within bounds
}

// takeFields returns the waits since its last call as log fields.
func (w *waitStats) takeFields() logrus.Fields {
	w.mu.Lock()
	defer w.mu.Unlock()
	fields := logrus.Fields{
		"urgent_wait_p50_ms": w.urgent.ValueAtQuantile(50), "urgent_wait_p99_ms": w.urgent.ValueAtQuantile(99),
		"other_wait_p50_ms": w.others.ValueAtQuantile(50), "other_wait_p99_ms": w.others.ValueAtQuantile(99),
	}
	w.urgent.Reset()
	w.others.Reset()
	return fields
}
