package owner

import "time"

// Gate tells whether this process may have effects on workers. It is asked
// right before each effect.
type Gate interface {
	MayAct(now time.Time) bool
}
