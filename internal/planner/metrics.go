package planner

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// plannerMetrics holds the metrics of a planner.
type plannerMetrics struct {
	cycles  *metrics.Histogram
	commits *metrics.Counter
	rows    *metrics.Counter
	assigns *metrics.Counter
	set     *metrics.Set
}

func newPlannerMetrics(set *metrics.Set) plannerMetrics {
	return plannerMetrics{
		cycles:  set.NewHistogram("gentianstand_planner_cycle_seconds"),
		commits: set.NewCounter("gentianstand_planner_commits_total"),
		rows:    set.NewCounter("gentianstand_planner_rows_written_total"),
		assigns: set.NewCounter("gentianstand_assigns_sent_total"),
		set:     set,
	}
}

func (m *plannerMetrics) cycle(took time.Duration) { m.cycles.Update(took.Seconds()) }

func (m *plannerMetrics) event(e Event) {
	m.set.GetOrCreateCounter(`gentianstand_planner_events_total{event="` + e.Name + `"}`).Inc()
}
