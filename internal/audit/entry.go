// Package audit stores the audit trail of changes in the platform's table, where it outlives the
// instances.
package audit

import "time"

// Entry records one requested change, whether it was accepted or refused.
type Entry struct {
	At time.Time `json:"at"`
	// By is the operator or caller who requested the change.
	By string `json:"by"`
	// Action is the kind of change.
	Action Action `json:"action"`
	// Subject identifies what the change applies to, such as a workload, a run or an instance.
	Subject string `json:"subject"`
	// From and To are configuration numbers; 0 where there is none.
	From uint64 `json:"from,omitempty"`
	To   uint64 `json:"to,omitempty"`
	// Outcome is Accepted, or the error kind of the response.
	Outcome string `json:"outcome"`
	Detail  string `json:"detail,omitempty"`
	// Instance is the entry instance that handled the change.
	Instance string `json:"instance"`
}

// Accepted is the outcome of a change that took effect.
const Accepted = "accepted"
