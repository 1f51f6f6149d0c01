package workerspeed

import "math"

const (
	// kindDecay lets about the last 200 runs of a kind count.
	kindDecay = 0.995
	// minKindInformation is the number of runs from which a kind is rated, and kindScore the
	// distance from the typical worker in standard errors.
	minKindInformation = 20
	kindScore          = 5
)

// kindEstimate is the estimate of the workers with one kind label. New workers start with it.
type kindEstimate struct {
	// labelled is set unless these are the workers without a label, which have nothing in common.
	labelled  bool
	window    window
	published band
}

// known reports whether the factor of the kind may be derived from its runs: it differs from the
// typical worker, or it did before.
func (k *kindEstimate) known(centre, deviation float64) bool {
	if !k.labelled || k.window.information < minKindInformation {
		return false
	}
	return k.published.value != 0 || math.Abs(k.window.score(centre, deviation)) > kindScore
}
