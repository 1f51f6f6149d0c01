package advicebudget

import "time"

const (
	// maxQuickShare bounds the share of the instances that carry quick calls only.
	maxQuickShare = 0.34
	// quickWindow is the time over which the peak of quick calls is observed. Between one and two
	// windows count, so that the pauses of a bursty load do not hide its peaks.
	quickWindow = 5 * time.Second
	// QuickCallsPerInstance is how many quick calls an instance carries at the same time: the adviser
	// processes one, and one is queued for when it is done.
	QuickCallsPerInstance = 2
	// spareQuickInstances are kept beyond the observed peak. While slow calls hold all other
	// instances, one of them ends every 20 ms with 40 instances, so that a burst gets more at once.
	spareQuickInstances = 1
)

// QuickReserve decides how many instances carry quick calls only, by the greatest number of quick
// calls that were in progress at the same time.
type QuickReserve struct {
	beganAt           time.Time
	measuredAt        time.Time
	peak, earlierPeak int
}

// Observe records how many quick calls are in progress.
func (q *QuickReserve) Observe(inProgress int, now time.Time) {
	q.advance(now)
	q.peak = max(q.peak, inProgress)
}

// Instances returns how many of all instances should carry quick calls only.
func (q *QuickReserve) Instances(all int, now time.Time) int {
	q.advance(now)
	most := MostQuickInstances(all)
	if now.Sub(q.beganAt) < 2*quickWindow {
		return most
	}
	peak := max(q.peak, q.earlierPeak)
	return min(most, (peak+QuickCallsPerInstance-1)/QuickCallsPerInstance+spareQuickInstances)
}

// MostQuickInstances returns how many of all instances carry quick calls only while their need is not
// known.
func MostQuickInstances(all int) int { return int(maxQuickShare * float64(all)) }

// advance begins a new window when the last one is over.
func (q *QuickReserve) advance(now time.Time) {
	if q.beganAt.IsZero() {
		q.beganAt, q.measuredAt = now, now
	}
	since := now.Sub(q.measuredAt)
	if since < quickWindow {
		return
	}
	q.earlierPeak = q.peak
	if since >= 2*quickWindow {
		q.earlierPeak = 0
	}
	q.peak, q.measuredAt = 0, now
}
