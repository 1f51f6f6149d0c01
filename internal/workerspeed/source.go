package workerspeed

// Source tells from what a worker's factor follows.
type Source string

const (
	// Unknown means that nothing is known of the worker or its kind.
	Unknown Source = "unknown"
	// Alike means that the runs on the worker and on others show no difference.
	Alike Source = "alike"
	// OwnRuns means that the factor follows from runs on the worker.
	OwnRuns Source = "own_runs"
	// Kind means that it follows from runs on workers with the same kind label.
	Kind Source = "kind"
	// Stored means that a previous owner has learned it.
	Stored Source = "stored"
)

// Source returns from what a worker's factor follows, and the number of runs on the worker that count, which
// is at most some 10 because older ones count less.
func (m *Model) Source(worker, kind string) (source Source, runs float64) {
	k, e := m.kinds[kind], m.workers[worker]
	switch {
	case e == nil || e.kind != k:
		if k != nil && k.published.value != 0 {
			return Kind, 0
		}
		return Unknown, 0
	case e.restored:
		source = Stored
	case e.distinct || m.spread.open && e.published.value != 0:
		source = OwnRuns
	case e.published.value != 0:
		source = Kind
	default:
		source = Alike
	}
	return source, e.all().information
}
