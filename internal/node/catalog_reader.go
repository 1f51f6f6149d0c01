package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/catalog"
	"gentianstand/internal/steady"
	"gentianstand/internal/store"
)

// fullReadTimeout bounds one read of the whole catalog. If no data arrives, the store's client
// ends the read sooner.
const fullReadTimeout = 5 * time.Second

// catalogReader updates the catalog in force from the store and records when it was confirmed.
// It is safe for concurrent use.
type catalogReader struct {
	source  catalog.Source
	current *catalog.Current
	log     logrus.FieldLogger
	now     func() steady.Instant

	mu sync.Mutex
	// position is where the feed resumes. It is valid only if known is set.
	position uint64
	known    bool
}

func newCatalogReader(s catalog.Source, current *catalog.Current, log logrus.FieldLogger) *catalogReader {
	return &catalogReader{source: s, current: current, log: log, now: steady.Now}
}

// read reads the changes of the configuration, waiting for one for at most wait.
func (r *catalogReader) read(ctx context.Context, wait time.Duration) error {
	position, known := r.resume()
	// The response may lack a change that is made while the read is in progress, so the
	// view is confirmed as of the start of the read.
	startedAt := r.now()
	update, err := r.fetch(ctx, position, known, wait)
	if errors.Is(err, store.ErrHistoryGone) {
		r.resetPosition(position)
		return nil
	}
	if err != nil {
		return err
	}
	if update.Catalog != nil {
		r.install(update.Catalog)
	}
	r.advanceTo(update.Position)
	if !update.Partial {
		r.current.Confirm(startedAt)
	}
	return nil
}

func (r *catalogReader) fetch(ctx context.Context, position uint64, known bool, wait time.Duration) (catalog.Update, error) {
	if known {
		return r.source.Since(ctx, position, wait)
	}
	callCtx, cancel := context.WithTimeout(ctx, fullReadTimeout)
	defer cancel()
	return r.source.Newest(callCtx)
}

// install puts a catalog into force unless the one in force is as new or newer.
func (r *catalogReader) install(next *catalog.Catalog) {
	if r.current.Advance(next) {
		r.log.WithFields(logrus.Fields{"version": next.Version, "workspaces": len(next.Workspaces())}).Info("catalog_in_force")
	}
}

func (r *catalogReader) resume() (position uint64, known bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.position, r.known
}

func (r *catalogReader) advanceTo(position uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.position, r.known = max(r.position, position), true
}

// resetPosition makes the next read fetch the whole catalog, unless another read has advanced
// the position in the meantime.
func (r *catalogReader) resetPosition(position uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.position == position {
		r.known = false
	}
}
