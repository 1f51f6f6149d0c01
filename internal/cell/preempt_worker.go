package cell

import (
	"gentianstand/internal/preemption"
	"gentianstand/internal/resource"
)

// preemptWorker is a worker in a search for victims.
type preemptWorker struct {
	// soonFree is the capacity that is free, or becomes free as soon as by a short stop, without what is
	// promised to stages that were considered before.
	soonFree resource.Amount
	// victims are the runs that may be stopped.
	victims []*preemptCandidate
}

// preemptCandidate is a run that may be stopped.
type preemptCandidate struct {
	worker  *preemptWorker
	attempt *attempt
	// occupied is what the run leaves.
	occupied resource.Amount
	view     preemption.Run
}

// promise promises capacity for as many tasks as become free soon, at most most, and returns their
// number.
func (p *preemptWorker) promise(need resource.Amount, most int) int {
	n := need.CountIn(p.soonFree, int64(most))
	p.soonFree = p.soonFree.Sub(need.Times(n))
	return int(n)
}

// best returns the run whose stop frees capacity for tasks at the lowest cost, or nil.
func (p *preemptWorker) best(need resource.Amount, missing int) *preemptCandidate {
	var best *preemptCandidate
	for _, candidate := range p.victims {
		if candidate.attempt.phase != running {
			continue
		}
		candidate.view.Frees = int(need.CountIn(p.soonFree.Add(candidate.occupied), int64(missing)))
		if candidate.view.Frees > 0 && (best == nil || candidate.view.Before(&best.view)) {
			best = candidate
		}
	}
	return best
}

// take promises the capacity of a run that is stopped to the tasks for which it is.
func (p *preemptWorker) take(stopped *preemptCandidate, need resource.Amount) {
	p.soonFree = p.soonFree.Add(stopped.occupied).Sub(need.Times(int64(stopped.view.Frees)))
}
