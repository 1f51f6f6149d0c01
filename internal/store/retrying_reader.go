package store

import (
	"context"
	"errors"
	"time"
)

const (
	// pageTimeout bounds one attempt to read a page. A large page takes 4 seconds on a slow
	// link. If no data arrives, the store's client ends the attempt sooner.
	pageTimeout = 5 * time.Second
	// pageRetryInterval is the pause before a failed read is retried.
	pageRetryInterval = 100 * time.Millisecond
)

// RetryingReader is a Store whose reads are retried until the context ends if the store refuses
// or does not answer. Contexts therefore need a deadline. Each attempt has a timeout of its own,
// because a connection that has lost a response delivers no further one: a read without a
// limit could block indefinitely.
type RetryingReader struct{ Store }

// Read implements Store.
func (p RetryingReader) Read(ctx context.Context, table, partition, from string) (Page, error) {
	for {
		page, err := p.readOnce(ctx, table, partition, from)
		if !errors.Is(err, ErrUnavailable) && !errors.Is(err, ErrUnknown) {
			return page, err
		}
		select {
		case <-ctx.Done():
			return page, err
		case <-time.After(pageRetryInterval):
		}
	}
}

func (p RetryingReader) readOnce(ctx context.Context, table, partition, from string) (Page, error) {
	callCtx, cancel := context.WithTimeout(ctx, pageTimeout)
	defer cancel()
	return p.Store.Read(callCtx, table, partition, from)
}
