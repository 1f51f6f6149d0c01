package cellleader

import "time"

// responseTimes records the slowest recent answer of the owner. The zero value has recorded no
// answer.
type responseTimes struct {
	slowest time.Duration
	at      time.Time
}

// record adds the duration of an answer.
func (a *responseTimes) record(took time.Duration, now time.Time) {
	if took >= a.slowestRecent(now) {
		a.slowest, a.at = took, now
	}
}

// slowestRecent returns the slowest answer within responseWindow, or 0.
func (a *responseTimes) slowestRecent(now time.Time) time.Duration {
	if now.Sub(a.at) > responseWindow {
		return 0
	}
	return a.slowest
}
