// Package resource represents amounts of processors, memory and accelerators as integers, so
// that sums are exact.
package resource

import "fmt"

// Amount is a quantity of the 3 resources of a worker. All fields are in whole units; they are
// negative only in a difference.
type Amount struct {
	// MilliCPU is processor time in thousandths of a core.
	MilliCPU int64 `json:"milli_cpu"`
	// MemoryMiB is memory in mebibytes.
	MemoryMiB int64 `json:"memory_mib"`
	// Accelerators is the number of whole accelerators.
	Accelerators int64 `json:"accelerators"`
}

// Add returns a + b.
func (a Amount) Add(b Amount) Amount {
	return Amount{a.MilliCPU + b.MilliCPU, a.MemoryMiB + b.MemoryMiB, a.Accelerators + b.Accelerators}
}

// Sub returns a - b.
func (a Amount) Sub(b Amount) Amount {
	return Amount{a.MilliCPU - b.MilliCPU, a.MemoryMiB - b.MemoryMiB, a.Accelerators - b.Accelerators}
}

// Times returns a multiplied by n.
func (a Amount) Times(n int64) Amount {
	return Amount{a.MilliCPU * n, a.MemoryMiB * n, a.Accelerators * n}
}

// Fits reports whether a is at most b in every dimension.
func (a Amount) Fits(b Amount) bool {
	return a.MilliCPU <= b.MilliCPU && a.MemoryMiB <= b.MemoryMiB && a.Accelerators <= b.Accelerators
}

// IsZero reports whether every dimension is zero.
func (a Amount) IsZero() bool { return a == Amount{} }

// Max returns the larger value in each dimension.
func (a Amount) Max(b Amount) Amount {
	return Amount{max(a.MilliCPU, b.MilliCPU), max(a.MemoryMiB, b.MemoryMiB), max(a.Accelerators, b.Accelerators)}
}

// Min returns the smaller value in each dimension.
func (a Amount) Min(b Amount) Amount {
	return Amount{min(a.MilliCPU, b.MilliCPU), min(a.MemoryMiB, b.MemoryMiB), min(a.Accelerators, b.Accelerators)}
}

// CountIn returns how many times a fits into b, at most limit.
func (a Amount) CountIn(b Amount, limit int64) int64 {
	n := limit
	n = min(n, countDimension(a.MilliCPU, b.MilliCPU, limit))
	n = min(n, countDimension(a.MemoryMiB, b.MemoryMiB, limit))
	n = min(n, countDimension(a.Accelerators, b.Accelerators, limit))
	return max(n, 0)
}

// String returns the amount with its units.
func (a Amount) String() string {
	return fmt.Sprintf("%dm cpu, %d MiB, %d accelerators", a.MilliCPU, a.MemoryMiB, a.Accelerators)
}

func countDimension(need, have, limit int64) int64 {
	if have < 0 {
		return 0
	}
	if need == 0 {
		return limit
	}
	return have / need
}
