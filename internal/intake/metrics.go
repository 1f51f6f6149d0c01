package intake

import "github.com/VictoriaMetrics/metrics"

// Metrics holds the counters and histograms of job submission.
type Metrics struct {
	Submitted     *metrics.Counter
	SubmitErrors  *metrics.Counter
	SubmitSeconds *metrics.Histogram
	// Refused counts jobs that were refused because workers were at capacity.
	Refused *metrics.Counter
	// RefusedBeyondShare counts those of them that were beyond the share of their workspace, and
	// AdmittedLate the jobs that were accepted although they were expected to be late.
	RefusedBeyondShare *metrics.Counter
	AdmittedLate       *metrics.Counter
	// RefusedForMemory counts the jobs for which the owner had no memory.
	RefusedForMemory *metrics.Counter
	// StaleDecisions counts the refusals by a view older than a second.
	StaleDecisions *metrics.Counter
}

// NewMetrics registers the metrics in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		Submitted:          set.NewCounter("gentianstand_intake_submitted_total"),
		SubmitErrors:       set.NewCounter("gentianstand_intake_submit_errors_total"),
		Refused:            set.NewCounter("gentianstand_intake_refused_total"),
		RefusedBeyondShare: set.NewCounter("gentianstand_intake_refused_beyond_share_total"),
		RefusedForMemory:   set.NewCounter("gentianstand_intake_refused_for_memory_total"),
		AdmittedLate:       set.NewCounter("gentianstand_intake_admitted_late_total"),
		StaleDecisions:     set.NewCounter("gentianstand_intake_refused_by_stale_view_total"),
		SubmitSeconds:      set.NewHistogram("gentianstand_intake_submit_seconds"),
	}
}
