package quota

import (
	"math"

	"gentianstand/internal/fairness"
	"gentianstand/internal/resource"
)

// Account is what one workspace has running, and what it may have.
type Account struct {
	Workspace string
	// Used is what its runs occupy, those included that may still be starting or stopping.
	Used resource.Amount
	// Unconfirmed is what may run besides on workers that have not been heard yet.
	Unconfirmed resource.Amount
	// Cap bounds the sum; 0 in a dimension is no limit.
	Cap resource.Amount
	// Weight is its share when there is not enough for all, in jobs a second.
	Weight float64
	// Bucket measures its jobs against that.
	Bucket fairness.TokenBucket
}

// Allocate adds what a run occupies.
func (a *Account) Allocate(need resource.Amount) { a.Used = a.Used.Add(need) }

// Release takes it off again.
func (a *Account) Release(need resource.Amount) { a.Used = a.Used.Sub(need) }

// Startable returns how many tasks of some need may start now, at most most. A task that
// exceeds the cap alone may start when nothing else of the workspace runs: it would wait
// forever otherwise.
func (a *Account) Startable(need resource.Amount, most int) int {
	n := int(need.CountIn(a.headroom(), int64(most)))
	if n == 0 && most > 0 && a.idle() && !need.Fits(effectiveCap(a.Cap)) {
		return 1
	}
	return n
}

// FitsCap reports whether a gang of some need in all fits under the cap when nothing else of
// the workspace runs.
func (a *Account) FitsCap(need resource.Amount) bool { return need.Fits(effectiveCap(a.Cap)) }

func (a *Account) headroom() resource.Amount {
	return effectiveCap(a.Cap).Sub(a.Used).Sub(a.Unconfirmed)
}

func (a *Account) idle() bool { return a.Used.IsZero() && a.Unconfirmed.IsZero() }

// effectiveCap returns a cap with a bound that nothing reaches in place of no limit.
func effectiveCap(limit resource.Amount) resource.Amount {
	return resource.Amount{MilliCPU: boundOrMax(limit.MilliCPU), MemoryMiB: boundOrMax(limit.MemoryMiB), Accelerators: boundOrMax(limit.Accelerators)}
}

func boundOrMax(limit int64) int64 {
	if limit <= 0 {
		return math.MaxInt64 / 2
	}
	return limit
}
