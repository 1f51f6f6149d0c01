package slack

import "math"

const (
	// classRatio is the ratio of the run times of successive classes. Learned factors of equal
	// workers differ by some 10%, and fit decides among the workers of one class.
	classRatio = 1.25
	// maxClass bounds the classes in both directions; it is a factor of 14.6.
	maxClass = 12
	// classes is the number of classes.
	classes = 2*maxClass + 1
)

// Class is a range of run-time factors. 0 is a typical worker, and slower workers have higher
// classes.
type Class int8

// ClassOf returns the class of a run-time factor.
func ClassOf(factor float64) Class {
	if factor == 1 || !(factor > 0) {
		return 0
	}
	class := math.Round(math.Log(factor) / math.Log(classRatio))
	return Class(max(-maxClass, min(maxClass, class)))
}

// typicalFactors are the factors in the middle of the classes.
var typicalFactors = func() (f [classes]float64) {
	for i := range f {
		f[i] = math.Pow(classRatio, float64(i-maxClass))
	}
	return f
}()

func (c Class) index() int { return int(c) + maxClass }
