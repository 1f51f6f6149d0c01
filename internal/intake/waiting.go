package intake

import (
	"context"
	"sync"
	"time"

	"gentianstand/internal/cellpeer"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/fault"
)

// waitingCount is the number of waiting jobs of a queue and when the owner reported it.
type waitingCount struct {
	jobs int
	at   time.Time
}

// waitingCounts caches the last count of each queue.
type waitingCounts struct {
	mu      sync.Mutex
	byQueue map[string]waitingCount
}

func (w *waitingCounts) get(queue string, now time.Time) (int, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c, ok := w.byQueue[queue]
	return c.jobs, ok && now.Sub(c.at) < waitingCountTTL
}

func (w *waitingCounts) set(queue string, jobs int, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.byQueue[queue] = waitingCount{jobs, now}
}

// Waiting returns the number of waiting jobs in a queue. If the owner does not answer, a cached
// count no older than waitingCountTTL is returned.
func (i *Intake) Waiting(ctx context.Context, queue string) (int, error) {
	if jobs, ok := i.ownership.Waiting(queue); ok {
		return jobs, nil
	}
	address, self := i.ownership.Owner()
	if address != "" && !self {
		callCtx, cancel := context.WithTimeout(ctx, queryTimeout)
		defer cancel()
		reply, err := i.clients.To(address).Waiting(callCtx, &cellpb.WaitingRequest{Queue: queue})
		if err == nil && reply.Owner {
			i.waiting.set(queue, int(reply.Jobs), time.Now())
			if reply.View != nil {
				i.UpdateView(cellpeer.ViewFrom(reply.View, nil))
			}
			return int(reply.Jobs), nil
		}
	}
	if jobs, ok := i.waiting.get(queue, time.Now()); ok {
		return jobs, nil
	}
	return 0, fault.New(fault.PlatformUnavailable, "queue %s: the owner of the cell does not answer", queue).WithRetryAfter(outageRetryAfter)
}
