package slack

// paceShare is the share of the capacity that the fastest workers must hold to set the pace.
// Less would be occupied most of the time.
const paceShare = 0.1

// Fleet describes the speeds of the workers of one service. The zero value has no workers.
type Fleet struct {
	milliCPU [classes]int64
	// weighted sums up factors times capacity.
	weighted [classes]float64
	total    int64
	// present is the number of classes with capacity.
	present int
}

// Reset removes all workers.
func (f *Fleet) Reset() { *f = Fleet{} }

// Add adds a worker and returns its class.
func (f *Fleet) Add(factor float64, milliCPU int64) Class {
	class := ClassOf(factor)
	i := class.index()
	if f.milliCPU[i] == 0 && milliCPU > 0 {
		f.present++
	}
	f.milliCPU[i] += milliCPU
	f.weighted[i] += factor * float64(milliCPU)
	f.total += milliCPU
	return class
}

// Differs reports whether the workers differ in speed.
func (f *Fleet) Differs() bool { return f != nil && f.present > 1 }

// MilliCPU returns the capacity of a class, in thousandths of a core.
func (f *Fleet) MilliCPU(c Class) int64 { return f.milliCPU[c.index()] }

// Factor returns the mean run-time factor of a class.
func (f *Fleet) Factor(c Class) float64 {
	i := c.index()
	if f.milliCPU[i] == 0 {
		return typicalFactors[i]
	}
	return f.weighted[i] / float64(f.milliCPU[i])
}

// Pace returns the factor on which work with little slack can count: that of the fastest
// workers which together hold paceShare of the capacity. It is 1 while all are equally fast.
func (f *Fleet) Pace() float64 {
	if !f.Differs() {
		return 1
	}
	held := int64(0)
	for c := Class(-maxClass); c < maxClass; c++ {
		held += f.MilliCPU(c)
		if float64(held) >= paceShare*float64(f.total) {
			return f.Factor(c)
		}
	}
	return f.Factor(maxClass)
}
