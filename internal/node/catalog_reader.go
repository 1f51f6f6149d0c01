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

// fullReadTimeout bounds one read of the whole catalog; the store's client ends one in which
// nothing comes.
const fullReadTimeout = 5 * time.Second

// catalogReader brings the catalog in force up to date from the store, and notes when it was
// confirmed. It is safe for concurrent use.
type catalogReader struct {
	source  catalog.Source
	current *catalog.Current
	log     logrus.FieldLogger
	now     func() steady.Instant

	mu sync.Mutex
	// position is where the feed resumes; known says that there is one.
	position uint64
	known    bool
}

func newCatalogReader(s catalog.Source, current *catalog.Current, log logrus.FieldLogger) *catalogReader {
	return &catalogReader{source: s, current: current, log: log, now: steady.Now}
}

// read asks for news, and waits for them for at most wait.
func (r *catalogReader) read(ctx context.Context, wait time.Duration) error {
	position, known := r.resume()
	// A change that is made while the question is under way may be missing in the answer.
	asked := r.now()
	news, err := r.fetch(ctx, position, known, wait)
	if errors.Is(err, store.ErrHistoryGone) {
		r.resetPosition(position)
		return nil
	}
	if err != nil {
		return err
	}
	if news.Catalog != nil {
		r.install(news.Catalog)
	}
	r.advanceTo(news.Position)
	if !news.Partial {
		r.current.Confirm(asked)
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

// install puts a catalog into force unless there is a newer one.
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

// resetPosition has the next read be one of the whole catalog, unless another read has moved on.
func (r *catalogReader) resetPosition(position uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.position == position {
		r.known = false
	}
}
