package workerspeed

import "math"

// window is a mean of samples in which older ones count less.
type window struct {
	// decay is the share of the weight that is kept per independent run.
	decay float64
	sum   float64
	// information is the number of independent runs in the mean, and variance that of their sum
	// in units of the variance of one run.
	information float64
	variance    float64
}

func (w *window) add(sample, information float64) {
	kept := math.Pow(w.decay, information)
	w.sum = kept*w.sum + information*sample
	w.information = kept*w.information + information
	w.variance = kept*kept*w.variance + information
}

// addUnordered adds a sample of which it is not known when it was taken relative to the others, so that none
// counts less.
func (w *window) addUnordered(sample, information float64) {
	w.sum += information * sample
	w.information += information
	w.variance += information
}

// mean returns the mean of the samples, or 0 without any.
func (w *window) mean() float64 {
	if w.information == 0 {
		return 0
	}
	return w.sum / w.information
}

// score returns the distance of the mean from a level, in standard errors; deviation is the
// standard deviation of one run.
func (w *window) score(level, deviation float64) float64 {
	if w.variance == 0 {
		return 0
	}
	return (w.sum - w.information*level) / (deviation * math.Sqrt(w.variance))
}

// followedBy returns a window with the samples of w and then those of another one.
func (w window) followedBy(next window) window {
	kept := math.Pow(w.decay, next.information)
	return window{decay: w.decay, sum: kept*w.sum + next.sum, information: kept*w.information + next.information, variance: kept*kept*w.variance + next.variance}
}
