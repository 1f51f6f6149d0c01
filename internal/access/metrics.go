package access

import "github.com/VictoriaMetrics/metrics"

// Metrics counts the calls that were refused before any work was done for them.
type Metrics struct {
	// UnknownKeys counts calls without a key or with a key that no workspace has.
	UnknownKeys *metrics.Counter
	// Unconfirmed counts calls that could not be decided because the configuration was not
	// confirmed.
	Unconfirmed *metrics.Counter
}

// NewMetrics registers the metrics in a set.
func NewMetrics(set *metrics.Set) *Metrics {
	return &Metrics{
		UnknownKeys: set.NewCounter(`gentianstand_access_refused_total{why="unknown_key"}`),
		Unconfirmed: set.NewCounter(`gentianstand_access_refused_total{why="unconfirmed"}`),
	}
}
