package cellowner

import (
	"context"
	"time"
)

const (
	// lookRetry is the pause after a look without an answer. A worker that was
	// cut off should be seen again well before its lease ends. The first pause is
	// lookRetryFirst, because one lost answer says little about the worker.
	lookRetry      = 200 * time.Millisecond
	lookRetryFirst = 10 * time.Millisecond
	// lookPace is the least time between two looks of which the first did not
	// wait: what it shows has to be dealt with before the next can show more.
	lookPace = 15 * time.Millisecond
	// lookGap is the least time between two looks at a worker whose ends cannot
	// be acknowledged yet: it answers at once as long as it lists any.
	lookGap = 100 * time.Millisecond
	// storedWait bounds the wait for a commit that makes new ends acknowledgeable.
	storedWait = 60 * time.Millisecond
)

// startLooking begins a look loop for each worker that has none.
func (o *Owner) startLooking(ctx context.Context) {
	for _, id := range o.cell.WorkerIDs() {
		o.lookingMu.Lock()
		_, there := o.looking[id]
		o.looking[id] = struct{}{}
		o.lookingMu.Unlock()
		if !there {
			o.loops.Go(func() { o.lookLoop(ctx, id) })
		}
	}
}

// lookLoop looks at one worker until the cell forgets or parks it.
func (o *Owner) lookLoop(ctx context.Context, id string) {
	defer func() {
		o.lookingMu.Lock()
		delete(o.looking, id)
		o.lookingMu.Unlock()
	}()
	var last newestEnd
	pause := lookRetryFirst
	for ctx.Err() == nil {
		if !o.deps.Leadership.Confirmed() {
			wait(ctx, lookRetry)
			continue
		}
		sentAt := time.Now()
		target, look, ok := o.cell.NextLook(id, sentAt)
		if !ok {
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, look.Wait+o.patience.Limit())
		report, err := o.deps.Runner.Poll(callCtx, target, look)
		cancel()
		o.deps.Metrics.Looks.Inc()
		if err != nil {
			o.lookFailed(ctx, id, err, pause)
			pause = lookRetry
			continue
		}
		pause = lookRetryFirst
		stored := o.nextStored()
		o.cell.Reported(id, report, sentAt, time.Now())
		o.wake()
		newest := newestEndOf(report)
		switch {
		case newest.follows(last):
			last = newest
			o.wakeCommit()
			o.awaitStored(ctx, stored)
		case newest.sequence > 0:
			wait(ctx, lookGap)
		case look.Wait == 0:
			wait(ctx, lookPace)
		}
		if len(o.cell.Missing()) > 0 {
			signal(o.kickJobs)
		}
	}
}

func (o *Owner) lookFailed(ctx context.Context, id string, err error, pause time.Duration) {
	o.deps.Metrics.LookErrors.Inc()
	if ctx.Err() != nil {
		return
	}
	o.checkFence(err)
	o.cell.LookFailed(id, err, time.Now())
	o.wake()
	wait(ctx, pause)
}

// nextStored returns a channel that is closed after the next commit.
func (o *Owner) nextStored() <-chan struct{} {
	o.storedMu.Lock()
	defer o.storedMu.Unlock()
	return o.stored
}

func (o *Owner) announceStored() {
	o.storedMu.Lock()
	defer o.storedMu.Unlock()
	close(o.stored)
	o.stored = make(chan struct{})
}

func (o *Owner) awaitStored(ctx context.Context, stored <-chan struct{}) {
	timer := time.NewTimer(storedWait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-stored:
	case <-timer.C:
	}
}
