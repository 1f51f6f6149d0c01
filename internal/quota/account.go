package quota

import (
	"math"

	"gentianstand/internal/fairness"
	"gentianstand/internal/resource"
)

// Account holds the resource usage of one workspace on all workers, and its limits.
type Account struct {
	Workspace string
	// Used is the amount that the workspace's runs occupy, including runs that may still be
	// starting or stopping.
	Used resource.Amount
	// Unconfirmed is the additional amount that may be in use on workers that have not reported
	// yet.
	Unconfirmed resource.Amount
	// Cap bounds the sum of Used and Unconfirmed; 0 in a dimension means no limit.
	Cap resource.Amount
	// Weight is the workspace's share under contention, in jobs per second.
	Weight float64
	// Bucket measures the workspace's jobs against Weight, for the order of work.
	Bucket fairness.TokenBucket
	// Admitted measures its jobs against Weight and Room the room that they take against its part of
	// the capacity, for the admission of further jobs.
	Admitted fairness.TokenBucket
	Room     fairness.WorkBucket
}

// Allocate adds the resources of a run to Used.
func (a *Account) Allocate(need resource.Amount) { a.Used = a.Used.Add(need) }

// Release subtracts the resources of a run from Used.
func (a *Account) Release(need resource.Amount) { a.Used = a.Used.Sub(need) }

// Startable returns how many tasks with the given need may start now, at most most. A task that
// exceeds the cap on its own may start while nothing else of the workspace runs; otherwise it
// would wait forever.
func (a *Account) Startable(need resource.Amount, most int) int {
	n := int(need.CountIn(a.headroom(), int64(most)))
	if n == 0 && most > 0 && a.idle() && !need.Fits(effectiveCap(a.Cap)) {
		return 1
	}
	return n
}

// FitsCap reports whether need, the total of a gang, fits under the cap while nothing else of
// the workspace runs.
func (a *Account) FitsCap(need resource.Amount) bool { return need.Fits(effectiveCap(a.Cap)) }

func (a *Account) headroom() resource.Amount {
	return effectiveCap(a.Cap).Sub(a.Used).Sub(a.Unconfirmed)
}

func (a *Account) idle() bool { return a.Used.IsZero() && a.Unconfirmed.IsZero() }

// effectiveCap returns limit with each 0 (no limit) replaced by a bound that is never reached.
func effectiveCap(limit resource.Amount) resource.Amount {
	return resource.Amount{MilliCPU: boundOrMax(limit.MilliCPU), MemoryMiB: boundOrMax(limit.MemoryMiB), Accelerators: boundOrMax(limit.Accelerators)}
}

func boundOrMax(limit int64) int64 {
	if limit <= 0 {
		return math.MaxInt64 / 2
	}
	return limit
}
