package slack

import "time"

const (
	// maxWait bounds the wait for faster workers, as expected ends are uncertain.
	maxWait = 2 * time.Second
	// maxWaitShare bounds the wait as a share of the time that faster workers save. A wait in
	// vain then makes the work later by at most that share.
	maxWaitShare = 0.5
	// waitMargin is added to the expected wait, for the report of the end and the order.
	waitMargin = 50 * time.Millisecond
)

// Wait is the choice of a stage between starting its idle tasks now, on workers on which it has
// no slack, and waiting for faster ones.
type Wait struct {
	Work     Work
	Fleet    *Fleet
	Releases *Releases
	// Usable is the capacity of the workers that the stage may use.
	Usable Capacity
	// Free is the fastest class with free capacity for the stage.
	Free Class
	// MilliCPU is what the idle tasks occupy together, and Ahead what the tasks occupy that
	// wait before them.
	MilliCPU, Ahead int64
	// Waited is for how long the stage has waited for faster workers.
	Waited time.Duration
}

// Expected returns how long the stage waits for faster workers. ok is false if it should start
// now, because it would end no sooner or has waited for long enough.
func (w *Wait) Expected() (wait time.Duration, ok bool) {
	for c := Class(-maxClass); c < w.Free; c++ {
		if w.Usable.Of(c) == 0 {
			continue
		}
		wait, ok = w.Releases.until(c, w.usableShare(c), w.Ahead+w.MilliCPU)
		if ok && w.pays(c, wait) {
			return wait, true
		}
	}
	return 0, false
}

// usableShare returns the share of a class that the stage may use.
func (w *Wait) usableShare(c Class) float64 {
	return float64(w.Usable.Of(c)) / float64(max(1, w.Fleet.MilliCPU(c)))
}

// pays reports whether the tasks end sooner if they wait for workers of a class.
func (w *Wait) pays(c Class, wait time.Duration) bool {
	saved := w.Work.On(w.Fleet.Factor(w.Free)) - w.Work.On(w.Fleet.Factor(c))
	if wait+waitMargin >= saved {
		return false
	}
	return w.Waited+wait <= min(maxWait, time.Duration(maxWaitShare*float64(saved)))
}
