package cellowner

import (
	"context"
	"time"
)

const (
	// pollRetryDelay is the pause after a failed poll. A worker that was cut off should be
	// reached again well before its lease expires. The first pause is firstPollRetryDelay,
	// because one lost answer does not mean that the worker is unresponsive.
	pollRetryDelay      = 200 * time.Millisecond
	firstPollRetryDelay = 10 * time.Millisecond
	// minPollInterval is the least time between two polls if the first one did not wait. The
	// owner has to act on a report before the next report can differ.
	minPollInterval = 15 * time.Millisecond
	// unacknowledgedPollInterval is the least time between two polls of a worker whose ends
	// cannot be acknowledged yet. Such a worker answers at once as long as its report lists ends.
	unacknowledgedPollInterval = 100 * time.Millisecond
	// commitWait bounds the wait for the commit after which new ends can be acknowledged.
	commitWait = 60 * time.Millisecond
)

// startPolling starts a poll loop for each worker that has none.
func (o *Owner) startPolling(ctx context.Context) {
	for _, id := range o.cell.WorkersToPoll() {
		o.polledMu.Lock()
		_, exists := o.polled[id]
		o.polled[id] = struct{}{}
		o.polledMu.Unlock()
		if !exists {
			o.loops.Go(func() { o.pollLoop(ctx, id) })
		}
	}
}

// pollLoop polls one worker until the cell forgets or parks it.
func (o *Owner) pollLoop(ctx context.Context, id string) {
	defer func() {
		o.polledMu.Lock()
		delete(o.polled, id)
		o.polledMu.Unlock()
	}()
	var last newestEnd
	pause := firstPollRetryDelay
	for ctx.Err() == nil {
		if !o.deps.Leadership.Confirmed() {
			sleep(ctx, pollRetryDelay)
			continue
		}
		sentAt := time.Now()
		target, poll, ok := o.cell.NextPoll(id, sentAt)
		if !ok {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, poll.Wait+o.orderTimeout.Limit())
		report, err := o.deps.Runner.Poll(callCtx, target, poll)
		cancel()
		o.deps.Metrics.Polls.Inc()
		if err != nil {
			o.pollFailed(ctx, id, err, pause)
			pause = pollRetryDelay
			continue
		}
		pause = firstPollRetryDelay
		commitDone := o.nextCommit()
		o.cell.Reported(id, report, sentAt, time.Now())
		o.wakePlanner()
		newest := newestEndOf(report)
		switch {
		case newest.newerThan(last):
			last = newest
			o.wakeCommitter()
			o.awaitCommit(ctx, commitDone)
		case newest.sequence > 0:
			sleep(ctx, unacknowledgedPollInterval)
		case poll.Wait == 0:
			sleep(ctx, minPollInterval)
		}
		if len(o.cell.UnknownJobs()) > 0 {
			signal(o.jobsSignal)
		}
	}
}

func (o *Owner) pollFailed(ctx context.Context, id string, err error, pause time.Duration) {
	o.deps.Metrics.PollErrors.Inc()
	if ctx.Err() != nil {
		return
	}
	o.checkFence(err)
	o.cell.PollFailed(id, err, time.Now())
	o.wakePlanner()
	sleep(ctx, pause)
}

// nextCommit returns a channel that is closed after the next commit.
func (o *Owner) nextCommit() <-chan struct{} {
	o.commitDoneMu.Lock()
	defer o.commitDoneMu.Unlock()
	return o.commitDone
}

// notifyCommitted wakes everything that waits for a commit.
func (o *Owner) notifyCommitted() {
	o.commitDoneMu.Lock()
	defer o.commitDoneMu.Unlock()
	close(o.commitDone)
	o.commitDone = make(chan struct{})
}

// awaitCommit waits until commitDone is closed, for at most commitWait.
func (o *Owner) awaitCommit(ctx context.Context, commitDone <-chan struct{}) {
	timer := time.NewTimer(commitWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-commitDone:
	case <-timer.C:
	}
}
