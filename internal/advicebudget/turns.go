package advicebudget

import "time"

const (
	// starvedAfter is how long the stages of a priority go without a call before one of them may ask
	// ahead of more urgent ones. Under a full load, a stage waits for 1 to 2 calls of 0.7 s.
	starvedAfter = 3 * time.Second
	// turnShare is the share of the time of all slots that may be used for such calls.
	turnShare = 0.1
)

// Turns lets stages of a starved priority ask ahead of more urgent ones, for a bounded share of the
// time of all slots.
type Turns struct {
	// askedAt is when a stage of a priority last asked in its usual place.
	askedAt map[int]time.Time
	nextAt  time.Time
}

// NewTurns returns turns without any calls so far.
func NewTurns() *Turns { return &Turns{askedAt: map[int]time.Time{}} }

// Asked records that a stage of a priority asked in its usual place.
func (t *Turns) Asked(priority int, now time.Time) { t.askedAt[priority] = now }

// Allowed reports whether a stage of a priority that has waited since the given time may ask ahead of
// more urgent ones now.
func (t *Turns) Allowed(priority int, since, now time.Time) bool {
	if at := t.askedAt[priority]; at.After(since) {
		since = at
	}
	return !now.Before(t.nextAt) && now.Sub(since) >= starvedAfter
}

// Took records a call ahead of more urgent ones, which is expected to take a given time.
func (t *Turns) Took(call time.Duration, slots int, now time.Time) {
	t.nextAt = now.Add(time.Duration(float64(call) / turnShare / float64(max(1, slots))))
}
