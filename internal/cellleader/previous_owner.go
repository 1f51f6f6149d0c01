package cellleader

import "time"

// PreviousOwner is what a new owner knows about the owners before it at its takeover.
type PreviousOwner struct {
	// Stopped is true if none of them sends orders any more.
	Stopped bool
	// PredecessorStopped is true if the last of them sends no orders any more.
	PredecessorStopped bool
	// Limit is how long after the takeover one may send orders, if Stopped is false.
	Limit time.Duration
}

// previousOwner returns what is known about the previous owners when a term begins. One that was
// confirmed just before may act for confirmationTTL. While it can have the votes of most instances, it
// may act for longer; those that have not learned of the term after unreachedLimit count as gone.
func previousOwner(why takeOver, outvoted bool) PreviousOwner {
	switch {
	case why.previousStopped:
		return PreviousOwner{Stopped: true, PredecessorStopped: true}
	case outvoted:
		return PreviousOwner{PredecessorStopped: why.predecessorStopped, Limit: confirmationTTL}
	}
	return PreviousOwner{PredecessorStopped: why.predecessorStopped, Limit: predecessorLimit}
}
