package owner

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/fleet"
	"gentianstand/internal/ownership"
	"gentianstand/internal/routing"
	"gentianstand/internal/worker"
)

// Timing of a worker's loop.
const (
	// syncPeriod is the interval between calls to an idle worker, claimPeriod
	// to one that is not claimed yet.
	syncPeriod  = time.Second
	claimPeriod = 200 * time.Millisecond
	// coalesceDelay is how long an assignment, or a change for the planner,
	// waits so that further ones are sent with it.
	coalesceDelay = 20 * time.Millisecond
	// unansweredAfter is how long a request may go without any sign of a
	// response before the worker is asked for its state.
	unansweredAfter = 1500 * time.Millisecond
)

// workerLoop runs the loop of one worker. It sends a Tracker's messages,
// checking the gate right before each call.
type workerLoop struct {
	id    string
	epoch uint64
	// address and shard do not change during the lifetime of a loop.
	address string
	shard   string

	owner  *Owner
	agent  worker.Agent
	wakeup chan struct{}
	quit   context.CancelFunc

	mu       sync.Mutex
	tracker  *Tracker
	held     ownership.HeldShard
	dirty    bool
	draining bool
}

func (m *workerLoop) run(ctx context.Context) {
	for ctx.Err() == nil {
		m.sync(ctx)
		m.waitForNext(ctx)
	}
}

// waitForNext waits until the next sync is due or there is something to send.
func (m *workerLoop) waitForNext(ctx context.Context) {
	timer := time.NewTimer(m.period())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-m.wakeup:
		time.Sleep(coalesceDelay)
	}
}

func (m *workerLoop) period() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tracker.State() == fleet.Claiming {
		return claimPeriod
	}
	return syncPeriod
}

func (m *workerLoop) requestSync() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// sync makes one call to the worker. A process that has lost the right to act
// must not extend the lease and only lets time pass.
func (m *workerLoop) sync(ctx context.Context) {
	now := time.Now()
	if !m.mayAct(now) {
		m.tick(now)
		return
	}
	unanswered := m.owner.router.Unanswered(m.id, now.Add(-unansweredAfter))
	m.mu.Lock()
	req := m.tracker.NextRequest(unanswered)
	m.mu.Unlock()
	reply, err := m.agent.Sync(ctx, req)
	m.owner.metrics.syncs.Inc()
	received := time.Now()
	if err != nil {
		m.handleFailure(err, received)
		return
	}
	m.handleReply(reply, received)
	for i, state := range reply.RequestStates {
		if i < len(unanswered) {
			m.owner.router.Resolve(m.id, unanswered[i], state, received)
		}
	}
}

// mayAct reports whether the worker may be called. That includes a shard that
// was handed over: its workers are served for HandoverGrace longer, until the
// next owner has claimed them.
func (m *workerLoop) mayAct(now time.Time) bool {
	if !m.owner.gate.MayAct(now) {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	handedOverAt := m.held.HandedOverAt
	return handedOverAt.IsZero() || now.Sub(handedOverAt) < m.owner.timing.HandoverGrace
}

func (m *workerLoop) handleReply(reply worker.SyncReply, now time.Time) {
	m.mu.Lock()
	changed := m.tracker.HandleReply(reply, now)
	m.dirty = m.dirty || changed
	m.mu.Unlock()
	m.publishState(changed, now)
}

func (m *workerLoop) handleFailure(err error, now time.Time) {
	mayAct := m.mayAct(now)
	m.mu.Lock()
	before := m.tracker.State()
	changed := m.tracker.HandleFailure(err, now, mayAct)
	m.dirty = m.dirty || changed
	after, superseded := m.tracker.State(), m.tracker.Superseded()
	m.mu.Unlock()
	if superseded {
		m.owner.dropSuperseded(m)
		return
	}
	if changed {
		m.log().WithError(err).WithFields(logrus.Fields{"from": before, "to": after}).Warn("worker_state")
	}
	m.publishState(changed, now)
}

// tick updates the state of a worker that this process may not call.
func (m *workerLoop) tick(now time.Time) {
	m.mu.Lock()
	changed := m.tracker.Tick(now, false)
	m.dirty = m.dirty || changed
	m.mu.Unlock()
	m.publishState(changed, now)
}

// publishState passes the worker's state to the router. If it changed, the
// planner is notified as well.
func (m *workerLoop) publishState(changed bool, now time.Time) {
	m.owner.router.SetWorker(m.info(), now)
	if changed {
		m.owner.wakeReporter()
	}
}

// info returns the worker's state for the router. A worker that is being
// drained, or that the platform lists as leaving, is not open for new requests.
func (m *workerLoop) info() routing.WorkerInfo {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.tracker
	return routing.WorkerInfo{
		ID: m.id, Address: t.owned.Instance.Address, Epoch: m.epoch,
		Slots: t.slots, OlderRequests: t.older, Services: t.Services(),
		Open: t.state == fleet.Ready && !m.closedLocked(),
	}
}

func (m *workerLoop) closedLocked() bool { return m.draining || m.tracker.owned.Instance.Leaving }

func (m *workerLoop) report() fleet.Report {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.tracker.Report()
	r.Draining = m.closedLocked()
	r.Sequence = m.owner.sequence.Add(1)
	return r
}

func (m *workerLoop) log() *logrus.Entry {
	return m.owner.log.WithFields(logrus.Fields{"worker": m.id, "epoch": m.epoch})
}
