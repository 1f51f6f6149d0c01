package advicebudget

// Demand is what a stage needs from a call.
type Demand struct {
	// Tasks is the number of tasks for which it has no usable ticket.
	Tasks float64
	// AllowedShare is the share of workers that the adviser is expected to allow.
	AllowedShare float64
	// Together is set if the tasks start all at once or not at all.
	Together bool
}

const (
	// oversupply is the factor by which the expected starts of a call should exceed the tasks that it
	// is for. Each task without a ticket costs another call of nearly the same duration; at 160% load
	// a call starts half as many tasks again with 3 as with 1.3.
	oversupply = 3.0
)

func (d *Demand) enough(starts float64) bool { return starts >= oversupply*d.Tasks }

// impossible reports whether too few tasks fit for any to start.
func (d *Demand) impossible(fit float64) bool {
	if d.Together {
		return fit < d.Tasks
	}
	return fit <= 0
}
