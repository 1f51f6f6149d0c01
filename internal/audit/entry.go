// Package audit keeps the trail of changes in the platform's table, so that it
// outlives every instance.
package audit

import "time"

// Entry is one change, accepted or not.
type Entry struct {
	At time.Time `json:"at"`
	// By is the operator or caller who asked for the change.
	By string `json:"by"`
	// Action says what was asked for.
	Action Action `json:"action"`
	// Subject is what the change is about: a workload, a run, an instance.
	Subject string `json:"subject"`
	// From and To are configuration numbers; 0 where there is none.
	From uint64 `json:"from,omitempty"`
	To   uint64 `json:"to,omitempty"`
	// Outcome is accepted, or the kind of error that it was answered with.
	Outcome string `json:"outcome"`
	Detail  string `json:"detail,omitempty"`
	// Instance is the entry instance that handled the change.
	Instance string `json:"instance"`
}

// Accepted is the outcome of a change that took effect.
const Accepted = "accepted"
