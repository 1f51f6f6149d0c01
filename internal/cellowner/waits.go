package cellowner

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"
)

const (
	// longestWait and waitDigits bound what the histograms of waits tell apart, in
	// milliseconds and significant digits.
	longestWait = 10 * time.Minute
	waitDigits  = 2
)

// waits are how long tasks waited for their first start since the last summary.
type waits struct {
	metrics *Metrics

	mu     sync.Mutex
	urgent *hdrhistogram.Histogram
	others *hdrhistogram.Histogram
}

func newWaits(m *Metrics) *waits {
	histogram := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(1, longestWait.Milliseconds(), waitDigits)
	}
	return &waits{metrics: m, urgent: histogram(), others: histogram()}
}

// note takes in one wait.
func (w *waits) note(priority int, wait time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	kind, total := w.others, w.metrics.WaitSeconds
	if priority <= 0 {
		kind, total = w.urgent, w.metrics.UrgentWaitSeconds
	}
	total.Update(wait.Seconds())
	_ = kind.RecordValue(min(wait, longestWait).Milliseconds()) // within the bounds
}

// take returns what to log of the waits since the last time.
func (w *waits) take() logrus.Fields {
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
