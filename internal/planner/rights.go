package planner

import "time"

// Rights reports whether this process may act as planner.
type Rights interface {
	// MayAct reports whether messages may be sent to owners. It is checked
	// right before each send.
	MayAct(now time.Time) bool
	// Outage reports whether the right to act is based on a confirmed outage of
	// the table.
	Outage(now time.Time) bool
}
