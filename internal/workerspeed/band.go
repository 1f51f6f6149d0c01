package workerspeed

import "math"

const (
	// enterBand is the distance from the typical worker, as a logarithm (a fifth), from which a
	// worker has a factor other than 1, and leaveBand (a tenth) that below which it is 1 again.
	enterBand = 0.2
	leaveBand = 0.1
	// bandStep is the least change of a factor other than 1, so that factors rarely change.
	bandStep = 0.08
)

// band is the logarithm of a factor. Workers that differ little have exactly 0, so that they are
// placed by fit alone.
type band struct {
	value  float64
	cached float64
}

func newBand(value float64) band { return band{value, math.Exp(value)} }

// set follows an estimate with hysteresis and reports whether the value has changed.
func (b *band) set(x float64) bool {
	limit := leaveBand
	if b.value == 0 {
		limit = enterBand
	}
	if math.Abs(x) < limit {
		x = 0
	} else if math.Abs(x-b.value) < bandStep {
		return false
	}
	if x == b.value {
		return false
	}
	*b = newBand(x)
	return true
}

func (b *band) factor() float64 {
	if b.value == 0 {
		return 1
	}
	return b.cached
}
