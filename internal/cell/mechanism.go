package cell

import "strings"

// Mechanism names a part of the policy that may be switched off alone, to measure what
// it is worth or to go on without it when it does harm. None of them guards a promise:
// without them work is slower or dearer, and as safe.
type Mechanism string

const (
	// Parking takes idle workers out of use; see park.
	Parking Mechanism = "parking"
	// Preemption stops less urgent runs for the most urgent queue; see preempt.
	Preemption Mechanism = "preemption"
	// SpeculativeRuns starts a second run of a doubtful one; see copyIfDoubtful.
	SpeculativeRuns Mechanism = "copies"
	// Moves stops runs that stand still or are slow; see watchProgress.
	Moves Mechanism = "moves"
	// Quarantine avoids workers on which runs fail; see health.
	Quarantine Mechanism = "quarantine"
	// TicketsAhead asks for advice about workers without room; see askAdvice.
	TicketsAhead Mechanism = "tickets-ahead"
	// DataLocality waits for room near a stage's data; see waitsForNear.
	DataLocality Mechanism = "near-data"
	// LateLast puts work that is late anyway behind other work; see inOrder.
	LateLast Mechanism = "late-last"
	// FairShares puts jobs beyond the share of their workspace behind others; see meterJobs.
	FairShares Mechanism = "fair-shares"
	// UrgentReserve keeps processors for the most urgent queue; see room.allows.
	UrgentReserve Mechanism = "urgent-reserve"
	// Reservations keeps workers for large tasks; see reserve.
	Reservations Mechanism = "reservations"
	// Cordoning tells the store which workers are silent; see watchClosing.
	Cordoning Mechanism = "closing"
	// Relays reaches workers through other instances; see package relay.
	Relays Mechanism = "relays"
)

// Mechanisms are all that there are, in the order of the planning pass.
var Mechanisms = []Mechanism{FairShares, LateLast, DataLocality, Reservations, Preemption, UrgentReserve, TicketsAhead, Quarantine, Moves, SpeculativeRuns, Cordoning, Parking, Relays}

func mechanismNames() string {
	names := make([]string, len(Mechanisms))
	for i, m := range Mechanisms {
		names[i] = string(m)
	}
	return strings.Join(names, ", ")
}

// enabled reports whether a mechanism is in use.
func (c *Cell) enabled(m Mechanism) bool { return !c.settings.Disabled.Has(m) }
