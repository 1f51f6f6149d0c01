package cell

import "strings"

// Mechanism names a part of the scheduling policy that can be disabled on its own, to measure
// its effect or to continue without it if it does harm. Correctness depends on no mechanism:
// without them work is slower or more expensive, but as safe.
type Mechanism string

const (
	// Parking takes idle workers out of use; see park.
	Parking Mechanism = "parking"
	// Preemption stops less urgent runs for the most urgent queue; see preempt.
	Preemption Mechanism = "preemption"
	// PreemptionBudget stops runs only for work that is worth it; see package preemption.
	PreemptionBudget Mechanism = "preemption-budget"
	// SpeculativeRuns starts a second run of a task whose run is uncertain to end in time; see
	// speculate.
	SpeculativeRuns Mechanism = "copies"
	// Moves stops stalled and slow runs, so that they restart elsewhere; see watchProgress.
	Moves Mechanism = "moves"
	// Quarantine avoids workers on which runs fail; see health.
	Quarantine Mechanism = "quarantine"
	// TicketsAhead requests tickets for workers without free capacity; see askAdvice.
	TicketsAhead Mechanism = "tickets-ahead"
	// DataLocality waits for free capacity near a stage's data; see waitsForLocality.
	DataLocality Mechanism = "near-data"
	// LateLast puts late work behind work that can still meet its objective; see
	// sortedWaiting.
	LateLast Mechanism = "late-last"
	// FairShares puts jobs beyond the share of their workspace behind others; see meterJobs.
	FairShares Mechanism = "fair-shares"
	// UrgentReserve reserves CPU capacity for the most urgent queue; see planView.allowsCPU.
	UrgentReserve Mechanism = "urgent-reserve"
	// Reservations reserves workers for large tasks; see reserve.
	Reservations Mechanism = "reservations"
	// Cordoning records in the store which workers are cordoned; see updateCordon.
	Cordoning Mechanism = "closing"
	// Relays reaches workers through other instances; see package relay.
	Relays Mechanism = "relays"
	// AdviceBudget divides the adviser calls among the stages while calls are scarce; see package
	// advicebudget.
	AdviceBudget Mechanism = "advice-budget"
	// WorkerSpeed learns how fast each worker is; see package workerspeed.
	WorkerSpeed Mechanism = "worker-speed"
	// Slack places work on fast or slow workers by when it must end; see package slack.
	Slack Mechanism = "slack"
	// WorkspaceAdmission decides on new jobs by the share of their workspace, and continues to
	// decide while the owner is away; see package admission.
	WorkspaceAdmission Mechanism = "workspace-admission"
)

// Mechanisms lists all mechanisms, in the order of the planning pass.
var Mechanisms = []Mechanism{FairShares, LateLast, DataLocality, Reservations, Preemption, PreemptionBudget, UrgentReserve, TicketsAhead, AdviceBudget, Quarantine, Moves, SpeculativeRuns, Cordoning, Parking, Relays, WorkerSpeed, Slack, WorkspaceAdmission}

func mechanismNames() string {
	names := make([]string, len(Mechanisms))
	for i, m := range Mechanisms {
		names[i] = string(m)
	}
	return strings.Join(names, ", ")
}

// enabled reports whether a mechanism is not disabled.
func (c *Cell) enabled(m Mechanism) bool { return !c.settings.Disabled.Has(m) }
