package celljobs

import (
	"context"
	"errors"
	"fmt"
	"time"

	"gentianstand/internal/store"
)

const (
	// unknownRetry is the pause before a write whose outcome is unknown is tried
	// again. The store answers in a few milliseconds when it is well.
	unknownRetry = 60 * time.Millisecond
	// lostForGood is how long the store must have been lost for a write with an
	// unknown outcome to be given up. Single answers get lost for less, and outages
	// last from two to ten seconds: a caller who waits three would learn nothing
	// more by waiting on, and could have asked again.
	lostForGood = 1200 * time.Millisecond
	// attemptFactor is how many times the usual wait an attempt may take in all: a
	// store that has just become slow answers later than the usual wait.
	attemptFactor = 2
	// attemptsOpen bounds the attempts of one write that wait for an answer.
	attemptsOpen = 3
)

// attempts are the attempts at one transaction. It may be applied more than once: the
// second time it finds the rows of the first. In a store that has become slow, giving the
// first up and making it again would take longer than its answer.
type attempts struct {
	store *store.Monitored
	tx    store.Tx
	ended chan ended
	open  int
	// unknown says that an attempt ended without an answer.
	unknown bool
}

// ended is how an attempt ended.
type ended struct {
	version uint64
	err     error
}

// CommitWithRetry makes attempts at a transaction, a further one whenever no answer has
// come for the usual time, until one is answered, ctx ends, or the store is lost.
// It returns store.ErrUnavailable only if no attempt can have taken effect. Where an
// attempt took effect without an answer, a later one returns a store.ConflictError with
// the rows of the first.
func (b *Jobs) CommitWithRetry(ctx context.Context, tx store.Tx) (version uint64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := &attempts{store: b.store, tx: tx, ended: make(chan ended, attemptsOpen)}
	for {
		if a.open < attemptsOpen {
			a.begin(ctx)
		}
		if done, version, err := a.await(ctx); done {
			return version, err
		}
		if lost := b.store.UnreachableFor(time.Now()); lost > lostForGood {
			return 0, fmt.Errorf("%w: it has been lost for %s", store.ErrUnknown, lost.Round(time.Millisecond))
		}
	}
}

// settle is CommitWithRetry for rows whose version nobody needs.
func (b *Jobs) settle(ctx context.Context, tx store.Tx) error {
	_, err := b.CommitWithRetry(ctx, tx)
	return err
}

// begin sends the transaction once more.
func (a *attempts) begin(ctx context.Context) {
	a.open++
	limit := attemptFactor * a.store.CallTimeout()
	go func() {
		callCtx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		version, err := a.store.Commit(callCtx, a.tx)
		a.ended <- ended{version, err}
	}()
}

// await waits until an attempt settles the outcome, or it is time for another one.
func (a *attempts) await(ctx context.Context) (done bool, version uint64, err error) {
	next := time.NewTimer(a.store.CallTimeout())
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return true, 0, fmt.Errorf("%w: gave up", store.ErrUnknown)
		case <-next.C:
			return false, 0, nil
		case e := <-a.ended:
			if a.settles(e.err) {
				return true, e.version, e.err
			}
			if a.open == 0 {
				next.Reset(unknownRetry)
			}
		}
	}
}

// settles takes in how an attempt ended and reports whether that is the outcome. An
// attempt that did nothing tells nothing about one whose answer is missing.
func (a *attempts) settles(err error) bool {
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
