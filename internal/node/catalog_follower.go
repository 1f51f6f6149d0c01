package node

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/catalog"
	"gentianstand/internal/store"
)

const (
	// catalogWait is how long a question for news may wait. A connection that went
	// silent is noticed after this and half a second more, which leaves time within the
	// three seconds in which instances whose connections were reset have to catch up.
	// Shorter waits are more calls to the store, by every instance.
	catalogWait = 2 * time.Second
	// catalogRetry is the pause after a failure, and catalogProbe the wait of the
	// questions until the next answer: callers are refused while the store is
	// lost, so its return has to be noticed soon.
	catalogRetry = 200 * time.Millisecond
	catalogProbe = time.Millisecond
	// catalogRead bounds one read of the catalog; the store's client ends one in which
	// nothing comes.
	catalogRead = 5 * time.Second
)

// catalogFollower keeps the catalog in force up to date.
type catalogFollower struct {
	source  catalog.Source
	current *catalog.Current
	log     logrus.FieldLogger
	known   bool
	version uint64
	failing bool
}

// run follows until ctx ends.
func (f *catalogFollower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.note(err)
			select {
			case <-ctx.Done():
			case <-time.After(catalogRetry):
			}
			continue
		}
		f.note(nil)
	}
}

func (f *catalogFollower) step(ctx context.Context) error {
	var next *catalog.Catalog
	var err error
	var version uint64
	if f.known {
		wait := catalogWait
		if f.failing {
			wait = catalogProbe
		}
		next, version, err = f.source.Since(ctx, f.version, wait)
	} else {
		callCtx, cancel := context.WithTimeout(ctx, catalogRead)
		defer cancel()
		next, version, err = f.source.Newest(callCtx)
	}
	if errors.Is(err, store.ErrHistoryGone) {
		f.known = false
		return nil
	}
	if err != nil {
		return err
	}
	f.version = version
	f.known = true
	if next != nil && f.current.Advance(next) {
		f.log.WithField("version", next.Version).Info("catalog_in_force")
	}
	return nil
}

// note logs when the store is lost and when it is back, not each failure.
func (f *catalogFollower) note(err error) {
	switch {
	case err != nil && !f.failing:
		f.log.WithError(err).Warn("store_lost")
	case err == nil && f.failing:
		f.log.Info("store_back")
	}
	f.failing = err != nil
}
