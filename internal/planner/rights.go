package planner

import "time"

// Rights tells what this process may do.
type Rights interface {
	// MayAct is asked right before anything leaves for the owners.
	MayAct(now time.Time) bool
	// Outage reports whether that right rests on a confirmed outage of the
	// table.
	Outage(now time.Time) bool
}
