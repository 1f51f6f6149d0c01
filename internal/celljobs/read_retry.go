package celljobs

import (
	"context"
	"errors"
	"fmt"
	"time"

	"gentianstand/internal/store"
)

// maxOpenReads bounds the attempts at one read that wait for an answer.
const maxOpenReads = 2

// readResult is the outcome of one attempt at a read.
type readResult struct {
	row store.Row
	err error
}

// get reads a row for a caller who waits until ctx ends, which must have a deadline. It makes another attempt
// whenever no answer has arrived within the usual time: the connection may be silent while new ones work. As
// with writes, an attempt continues for a while beside the next one, because the store may have become slow.
// After attempts without an answer the pauses become longer.
func (j *Jobs) get(ctx context.Context, table, partition, key string) (store.Row, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan readResult, maxOpenReads)
	attempts, open := 0, 0
	next := time.NewTimer(0)
	defer next.Stop()
	for {
		select {
		case <-ctx.Done():
			return store.Row{}, fmt.Errorf("%w: gave up: %w", store.ErrUnknown, ctx.Err())
		case <-next.C:
			if open < maxOpenReads {
				attempts, open = attempts+1, open+1
				go func() { results <- j.getOnce(ctx, table, partition, key) }()
			}
			next.Reset(j.store.CallTimeout())
		case got := <-results:
			if !errors.Is(got.err, store.ErrUnknown) {
				return got.row, got.err
			}
			open--
			next.Reset(time.Duration(attempts) * unknownRetryDelay)
		}
	}
}

func (j *Jobs) getOnce(ctx context.Context, table, partition, key string) readResult {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeoutFactor*j.store.CallTimeout())
	defer cancel()
	row, err := j.store.Get(ctx, table, partition, key)
	return readResult{row, err}
}
