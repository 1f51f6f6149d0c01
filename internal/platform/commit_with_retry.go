package platform

import (
	"context"
	"errors"
	"time"
)

// commitBackoff is the delay between attempts to commit a transaction.
const commitBackoff = 50 * time.Millisecond

// CommitWithRetry commits tx, retrying until the outcome is known or ctx ends.
//
// A write may take effect although its response is lost; a plain retry would then fail with
// a conflict against its own first attempt. CommitWithRetry repeats the same conditional
// transaction, so at most one attempt takes effect. On a conflict after an unknown outcome it
// searches for the id of tx in the rows that tx put. tx must therefore put at least one row that
// no other writer overwrites immediately.
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

// wroteAny reports whether any of the rows that tx puts was written by tx.
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
