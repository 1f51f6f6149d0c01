package owner

import "time"

// Gate reports whether this process may act on workers. It is checked right
// before each action.
type Gate interface {
	MayAct(now time.Time) bool
}
