package cell

import "time"

const (
	// unexplainedWindow is how long a crash counts that no starting run explains.
	unexplainedWindow = 10 * time.Second
	// frequentUnexplained is from how many of these crashes on workers are known to crash by
	// themselves, so that two crashes under one task may be chance, however soon they came.
	frequentUnexplained = 2
)

// unexplainedCrashes records the recent crashes of workers on which no run had just begun.
type unexplainedCrashes []time.Time

// add records a crash and drops old ones.
func (u *unexplainedCrashes) add(now time.Time) {
	kept := (*u)[:0]
	for _, t := range *u {
		if now.Sub(t) < unexplainedWindow {
			kept = append(kept, t)
		}
	}
	*u = append(kept, now)
}

// frequent reports whether workers crash by themselves.
func (u unexplainedCrashes) frequent(now time.Time) bool {
	n := 0
	for _, t := range u {
		if now.Sub(t) < unexplainedWindow {
			n++
		}
	}
	return n >= frequentUnexplained
}

// explained reports whether one of the suspects had just begun when the worker crashed.
func explained(suspects []suspectRun) bool {
	for _, r := range suspects {
		if r.immediate {
			return true
		}
	}
	return false
}
