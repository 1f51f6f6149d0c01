package spec

// Urgency orders workloads that compete.
type Urgency string

// The urgencies, most important first.
const (
	Urgent Urgency = "urgent"
	Normal Urgency = "normal"
	Low    Urgency = "low"
)

// Rank returns 0 for the most important urgency and grows from there.
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
