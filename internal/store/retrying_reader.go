package store

import (
	"context"
	"errors"
	"time"
)

const (
	// pageTimeout bounds one attempt to read a page: a small link carries a large one in
	// four seconds. The store's client ends one in which nothing comes.
	pageTimeout = 5 * time.Second
	// pageRetryInterval is the pause after an attempt that the store refused.
	pageRetryInterval = 100 * time.Millisecond
)

// RetryingReader is a Store that reads a page again while the store does not answer or
// refuses, until the context ends. Contexts therefore need a deadline. A connection that
// has lost an answer never delivers another one, so a read without a limit could last for
// ever.
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
