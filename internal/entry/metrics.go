package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gentianstand/internal/fault"
)

// entryMetrics counts requests.
type entryMetrics struct {
	set      *metrics.Set
	retries  *metrics.Counter
	forwards *metrics.Counter
}

func newEntryMetrics(set *metrics.Set) entryMetrics {
	return entryMetrics{
		set:      set,
		retries:  set.NewCounter("gentianstand_request_retries_total"),
		forwards: set.NewCounter("gentianstand_requests_forwarded_total"),
	}
}

// served counts a request by service and error kind, "ok" for an upstream's
// own answer. A service that is not configured has no counter of its own, so
// that callers cannot make up counters.
func (m entryMetrics) served(service string, err error, took time.Duration) {
	kind := "ok"
	if err != nil {
		k := fault.From(err).Kind
		if k == fault.UnknownService {
			service = ""
		}
		kind = string(k)
	}
	m.set.GetOrCreateCounter(fmt.Sprintf("gentianstand_requests_total{service=%q,kind=%q}", service, kind)).Inc()
	if err == nil {
		m.set.GetOrCreateHistogram(fmt.Sprintf("gentianstand_request_seconds{service=%q}", service)).Update(took.Seconds())
	}
}
