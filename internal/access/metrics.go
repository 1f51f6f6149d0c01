package access

import "github.com/VictoriaMetrics/metrics"

// Metrics count the calls that were refused before anything was done for them.
type Metrics struct {
	// UnknownKeys carried no key, or one that no workspace has.
	UnknownKeys *metrics.Counter
	// Unconfirmed could not be decided on, because the configuration was not confirmed.
	Unconfirmed *metrics.Counter
}

// NewMetrics registers the metrics in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		UnknownKeys: set.NewCounter(`gentianstand_access_refused_total{why="unknown_key"}`),
		Unconfirmed: set.NewCounter(`gentianstand_access_refused_total{why="unconfirmed"}`),
	}
}
