package celljobs

import (
	"context"
	"errors"
	"fmt"
	"time"

	"gentianstand/internal/store"
)

const (
	// unknownRetryDelay is the pause before a write with an unknown outcome is retried. A healthy
	// store answers within a few milliseconds.
	unknownRetryDelay = 60 * time.Millisecond
	// storeLossLimit is how long the store must have been lost for a write with an unknown
	// outcome to be abandoned. Single lost answers cause shorter gaps, and outages last 2 to
	// 10 s: a caller that waits 3 s learns nothing more by waiting longer, and could have asked
	// again.
	storeLossLimit = 1200 * time.Millisecond
	// attemptTimeoutFactor times the usual wait is the timeout of an attempt. A store that has
	// just become slow answers later than the usual wait.
	attemptTimeoutFactor = 2
	// maxOpenAttempts bounds the attempts at one write that wait for an answer.
	maxOpenAttempts = 3
)

// attempts are the attempts at one transaction. The transaction may be applied more than once:
// the second time it finds the rows of the first. An attempt continues when the next one starts,
// because in a store that has become slow a new attempt would take longer than the answer to the
// first.
type attempts struct {
	store   *store.Monitored
	tx      store.Tx
	results chan attemptResult
	open    int
	// unknown is true if an attempt ended without an answer.
	unknown bool
}

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	version uint64
	err     error
}

// CommitWithRetry commits a transaction. It starts a further attempt whenever no answer has
// arrived within the usual time, until an attempt is answered, ctx ends, or the store is lost. It
// returns store.ErrUnavailable only if no attempt can have taken effect. If an attempt took
// effect without an answer, a later one returns a store.ConflictError with the rows of the first.
func (j *Jobs) CommitWithRetry(ctx context.Context, tx store.Tx) (version uint64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &attempts{store: j.store, tx: tx, results: make(chan attemptResult, maxOpenAttempts)}
	for {
		if a.open < maxOpenAttempts {
			a.send(ctx)
		}
		if done, version, err := a.await(ctx); done {
			return version, err
		}
		if lost := j.store.UnreachableFor(time.Now()); lost > storeLossLimit {
			return 0, fmt.Errorf("%w: it has been lost for %s", store.ErrUnknown, lost.Round(time.Millisecond))
		}
	}
}

// commitWithRetry is CommitWithRetry for callers that do not need the version.
func (j *Jobs) commitWithRetry(ctx context.Context, tx store.Tx) error {
	_, err := j.CommitWithRetry(ctx, tx)
	return err
}

// send starts a further attempt.
func (a *attempts) send(ctx context.Context) {
	a.open++
	limit := attemptTimeoutFactor * a.store.CallTimeout()
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		version, err := a.store.Commit(callCtx, a.tx)
		a.results <- attemptResult{version, err}
	}()
}

// await waits until an attempt resolves the outcome, or until the next attempt is due.
func (a *attempts) await(ctx context.Context) (done bool, version uint64, err error) {
	next := time.NewTimer(a.store.CallTimeout())
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return true, 0, fmt.Errorf("%w: gave up", store.ErrUnknown)
		case <-next.C:
			return false, 0, nil
		case e := <-a.results:
			if a.resolves(e.err) {
				return true, e.version, e.err
			}
			if a.open == 0 {
				next.Reset(unknownRetryDelay)
			}
		}
	}
}

// resolves records the result of an attempt and reports whether it is the outcome of the
// transaction. An attempt without effect proves nothing about another one whose answer is
// missing.
func (a *attempts) resolves(err error) bool {
	a.open--
	switch {
	case errors.Is(err, store.ErrUnknown):
		a.unknown = true
		return false
	case errors.Is(err, store.ErrUnavailable):
		return !a.unknown && a.open == 0
	}
	return true
}
