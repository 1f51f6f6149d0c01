package intake

import "github.com/VictoriaMetrics/metrics"

// Metrics holds the counters and histograms of job submission.
type Metrics struct {
	Submitted     *metrics.Counter
	SubmitErrors  *metrics.Counter
	SubmitSeconds *metrics.Histogram
	// Refused counts jobs that were refused because workers were at capacity.
	Refused *metrics.Counter
}

// NewMetrics registers the metrics in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		Submitted:     set.NewCounter("gentianstand_intake_submitted_total"),
		SubmitErrors:  set.NewCounter("gentianstand_intake_submit_errors_total"),
		Refused:       set.NewCounter("gentianstand_intake_refused_total"),
		SubmitSeconds: set.NewHistogram("gentianstand_intake_submit_seconds"),
	}
}
