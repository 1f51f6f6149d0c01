package admission

import "time"

const (
	// trustedFor is the age up to which a view counts fully. A takeover is over by then, and every
	// submission brings a new view.
	trustedFor = 4 * time.Second
	// forgottenAfter is the age from which a view counts for nothing: an instance that is cut off
	// from the owner must not refuse jobs while workers may have become idle.
	forgottenAfter = 12 * time.Second
)

// trust returns the weight of a view of the given age. It falls from 1 to 0 between trustedFor and
// forgottenAfter.
func trust(age time.Duration) float64 {
	left := float64(forgottenAfter-age) / float64(forgottenAfter-trustedFor)
	return min(1, max(0, left))
}
