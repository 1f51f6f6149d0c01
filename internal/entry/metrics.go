package entry

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gentianstand/internal/fault"
)

// requestMetrics holds the counters of requests, retries and forwards.
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

// countRequest counts a request by service and error kind; the kind is "ok" for an upstream's
// response. Unconfigured services share the counter with the empty name, so that callers cannot
// create arbitrary time series.
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
