package admission

import (
	"math"
	"time"
)

const (
	// arrivalMemory is the time after which a job counts for a third in the ratio of arrivals.
	// It covers hundreds of jobs under load, and a change of the callers' paths is noticed soon.
	arrivalMemory = 10 * time.Second
	// maxOthersBurst is by how much other instances may admit more than their mean rate after a
	// view. Without this bound, a burst that reaches one instance alone would count at each
	// of them.
	maxOthersBurst = 4
)

// arrivals estimates how many jobs all instances together admit for each job that this one
// admits. It compares the owner's count of jobs with its own between views.
type arrivals struct {
	term  uint64
	count uint64
	at    time.Time
	// own and all are the decayed counts, and seconds is the decayed time that they cover.
	own, all, seconds float64
	// pending are the own jobs since the last view.
	pending float64
}

// admitted counts a job of this instance.
func (a *arrivals) admitted() { a.pending++ }

// update takes the owner's count of a view. The counts of two owners are not compared.
func (a *arrivals) update(v *View, now time.Time) {
	if a.term == v.Term && v.Arrivals >= a.count && !a.at.IsZero() {
		gap := now.Sub(a.at).Seconds()
		keep := math.Exp(-gap / arrivalMemory.Seconds())
		a.own = a.own*keep + a.pending
		a.all = a.all*keep + float64(v.Arrivals-a.count)
		a.seconds = a.seconds*keep + gap
	}
	a.term, a.count, a.at, a.pending = v.Term, v.Arrivals, now, 0
}

// scale returns by how much the work of own jobs, which this instance admitted within age, is to
// be multiplied to count that of all instances.
func (a *arrivals) scale(own int, age time.Duration) float64 {
	if a.own <= 0 || a.seconds <= 0 || own == 0 {
		return 1
	}
	others := maxOthersBurst * a.all / a.seconds * age.Seconds()
	return min(a.ratio(), 1+others/float64(own))
}

// ratio returns how many jobs all instances admit for each job of this one.
func (a *arrivals) ratio() float64 {
	if a.own <= 0 {
		return 1
	}
	return max(1, a.all/a.own)
}
