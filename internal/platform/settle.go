package platform

import (
	"context"
	"errors"
	"time"
)

// commitBackoff is the wait between two attempts of one transaction.
const commitBackoff = 50 * time.Millisecond

// CommitWithRetry commits tx and returns only when the result is known or ctx ends.
//
// A write may take effect although its answer is lost. Without care the
// repeat would find its own first attempt as a conflict and report a failure
// that did not happen. CommitWithRetry repeats the same conditional transaction, so at
// most one attempt takes effect, and on a conflict looks for its own
// transaction id in the rows it put. tx must therefore put at least one row
// that nobody else overwrites at once.
func CommitWithRetry(ctx context.Context, t Table, tx Tx) error {
	outcomeUnknown := false
	for {
		err := t.Commit(ctx, tx)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, ErrConflict):
			if !outcomeUnknown {
				return err
			}
			mine, readErr := wroteAny(ctx, t, tx)
			if readErr == nil && mine {
				return nil
			}
			if readErr == nil {
				return err
			}
		default:
			outcomeUnknown = true
		}
		select {
		case <-ctx.Done():
			return ErrUnavailable
		case <-time.After(commitBackoff):
		}
	}
}

func wroteAny(ctx context.Context, t Table, tx Tx) (bool, error) {
	for _, put := range tx.Puts {
		row, err := t.Get(ctx, put.Key)
		if err != nil {
			return false, err
		}
		if row.Tx == tx.ID {
			return true, nil
		}
	}
	return false, nil
}
