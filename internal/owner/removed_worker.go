package owner

import (
	"context"
	"time"

	"gentianstand/internal/routing"
)

// resolveUntilIdle asks the worker about requests that were in progress there
// when this process dropped it. The next owner does not know these requests.
// Without these calls, a request sent on an unresponsive connection would wait
// for its deadline of 30 s if the worker changed owners before the request was
// classified as unanswered.
func (m *workerLoop) resolveUntilIdle(ctx context.Context, rest *routing.RemovedWorker) {
	ticker := time.NewTicker(syncPeriod)
	defer ticker.Stop()
	for !rest.Idle() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.resolveUnanswered(ctx, rest)
		}
	}
}

func (m *workerLoop) resolveUnanswered(ctx context.Context, rest *routing.RemovedWorker) {
	unanswered := rest.Unanswered(time.Now().Add(-unansweredAfter))
	if len(unanswered) == 0 {
		return
	}
	states, err := m.agent.QueryRequests(ctx, unanswered)
	if err != nil {
		m.log().WithError(err).WithField("requests", len(unanswered)).Warn("requests_not_asked_about")
		return
	}
	now := time.Now()
	for i, state := range states {
		rest.Resolve(unanswered[i], state, now)
	}
}
