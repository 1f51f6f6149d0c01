package instance

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"gentianstand/internal/config"
	"gentianstand/internal/entry"
	"gentianstand/internal/membership"
)

// The values of the gauge gentianstand_rights: whether this instance may act for its shards, and
// whether by its session or by a confirmed outage of the table.
const (
	rightsNone    = 0
	rightsSession = 1
	rightsOutage  = 2
)

// registerGauges registers the gauges that operators use for alerts.
func registerGauges(set *metrics.Set, session *membership.Session, current *config.Current, e *entry.Server) {
	set.NewGauge("gentianstand_table_silence_seconds", func() float64 { return session.SinceTableAnswer(time.Now()).Seconds() })
	set.NewGauge("gentianstand_rights", func() float64 { return rights(session, time.Now()) })
	set.NewGauge("gentianstand_config_number", func() float64 { return float64(current.Number()) })
	set.NewGauge("gentianstand_requests_in_progress", func() float64 { return float64(e.InFlight()) })
}

func rights(session *membership.Session, now time.Time) float64 {
	switch {
	case session.Valid(now):
		return rightsSession
	case session.Outage(now):
		return rightsOutage
	default:
		return rightsNone
	}
}
