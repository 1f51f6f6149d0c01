package spec

// Urgency is the priority class of a workload when workloads compete for resources.
type Urgency string

// The urgencies, most important first.
const (
	Urgent Urgency = "urgent"
	Normal Urgency = "normal"
	Low    Urgency = "low"
)

// Rank returns 0 for the most important urgency, and higher numbers for less important ones.
func (u Urgency) Rank() int {
	switch u {
	case Urgent:
		return 0
	case Low:
		return 2
	default:
		return 1
	}
}
