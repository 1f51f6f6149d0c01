package callerconn

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"gentianstand/internal/callerlimit"
)

// The limits for which a request or a connection is rejected.
const (
	limitConnections = "connections"
	limitMemory      = "memory"
	limitRequests    = "requests"
	limitTime        = "time"
)

// guardMetrics are the metrics of a guard.
type guardMetrics struct {
	evicted    *metrics.Counter
	rejections map[string]*metrics.Counter
}

func newGuardMetrics(set *metrics.Set, l *callerlimit.Ledger) *guardMetrics {
	set.NewGauge("gentianstand_callers_connections", func() float64 { return float64(l.Usage().Connections) })
	set.NewGauge("gentianstand_callers_body_bytes", func() float64 { return float64(l.Usage().BodyBytes) })
	set.NewGauge("gentianstand_callers_requests", func() float64 { return float64(l.Usage().Requests) })
	m := &guardMetrics{evicted: set.NewCounter("gentianstand_callers_evicted_total"), rejections: map[string]*metrics.Counter{}}
	for _, limit := range []string{limitConnections, limitMemory, limitRequests, limitTime} {
		m.rejections[limit] = set.NewCounter(fmt.Sprintf("gentianstand_callers_rejected_total{limit=%q}", limit))
	}
	return m
}

// rejected counts a rejection.
func (m *guardMetrics) rejected(limit string) { m.rejections[limit].Inc() }
