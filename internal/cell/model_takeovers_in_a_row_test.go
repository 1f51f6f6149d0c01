package cell

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentianstand/internal/job"
)

// restartBound is how long a long-running task may be down after the last disruption, if workers
// have enough free capacity. After a takeover it waits for the leases that the previous owner may
// have extended (for longer than here while other instances confirm that owner), or for the backoff after lost workers, whichever is longer. The adviser's answer may
// come only then. The rest is for the calls and the planning passes between the parts.
var restartBound = max(
	time.Duration(float64(modelLease)*(1+maxClockDrift))+clockEstimateError+expiryMargin+supersededOwnerLimit,
	shortBackoff,
) + modelAdvice.Duration(typicalCallSize) + 10*faultFreeTick

// unansweredStopBound is how much longer a task may be down if one worker continues to answer polls
// but no orders, and has no other runs.
var unansweredStopBound = stopOverdueAfter + time.Duration(float64(modelLease)/(1-maxClockDrift)) + expiryMargin + 4*faultFreeTick

var (
	modelLease  = 3500 * time.Millisecond
	modelAdvice = job.AdviceCost{PerCall: 560 * time.Millisecond, PerWorker: 8 * time.Millisecond, TicketTTL: 2 * time.Second}
)

// Guards against waits of a long-running task that add up over takeovers in a row, beside lost orders,
// failing workers and failing adviser calls.
func TestModelLongRunningTasksRestartAfterTakeoversInARow(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &longRunningModel{model: newModel(rt), downSince: map[string]time.Time{}, limit: restartBound}
		m.lateByLease = rapid.Bool().Draw(rt, "late by lease")
		m.adviser = &modelAdviser{}
		m.submit()
		m.submit()
		for range rapid.IntRange(1, 5).Draw(rt, "owners") {
			for range rapid.IntRange(5, 60).Draw(rt, "steps") {
				m.stepWithLostOrders()
			}
			previousStopped := rapid.Bool().Draw(rt, "previous owner stopped")
			if previousStopped && rapid.Bool().Draw(rt, "handed over") {
				m.endTerm()
			}
			m.takeOver(previousStopped)
		}
		m.endFaults()
		m.limit += max(0, m.current().previousEnd.Sub(m.current().cell.startedAt)-supersededOwnerLimit)
		if rapid.Bool().Draw(rt, "orders of one worker stay lost") {
			m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(rt, "worker")].ordersLost = true
			m.limit += unansweredStopBound
		}
		for end := m.now.Add(faultFreePeriod); m.now.Before(end); {
			m.adviser.answerDue(m.now)
			m.roundWithoutFaults()
			m.checkDowntime()
		}
	})
}

// stepWithLostOrders is step with workers that answer polls and no orders.
func (m *longRunningModel) stepWithLostOrders() {
	if rapid.IntRange(0, 9).Draw(m.rt, "orders lost") == 0 {
		w := m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(m.rt, "worker")]
		w.ordersLost = !w.ordersLost
	}
	m.step()
	m.adviser.answerDue(m.now)
}
