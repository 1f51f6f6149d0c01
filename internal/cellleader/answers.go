package cellleader

import "time"

// answers remembers how slowly the owner has answered lately. Its zero value knows of
// no answer.
type answers struct {
	slowest time.Duration
	at      time.Time
}

// note takes in how long an answer took.
func (a *answers) note(took time.Duration, now time.Time) {
	if took >= a.lately(now) {
		a.slowest, a.at = took, now
	}
}

// lately returns the slowest answer of the last slowFor, or 0.
func (a *answers) lately(now time.Time) time.Duration {
	if now.Sub(a.at) > slowFor {
		return 0
	}
	return a.slowest
}
