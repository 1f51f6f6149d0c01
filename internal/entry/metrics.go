package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gentianstand/internal/fault"
)

// requestMetrics counts requests.
type requestMetrics struct {
	set      *metrics.Set
	retries  *metrics.Counter
	forwards *metrics.Counter
}

func newRequestMetrics(set *metrics.Set) requestMetrics {
	return requestMetrics{
		set:      set,
		retries:  set.NewCounter("gentianstand_request_retries_total"),
		forwards: set.NewCounter("gentianstand_requests_forwarded_total"),
	}
}

// countRequest counts a request by service and error kind, "ok" for an upstream's
// own answer. A service that is not configured has no counter of its own, so
// that callers cannot make up counters.
func (m requestMetrics) countRequest(service string, err error, took time.Duration) {
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
