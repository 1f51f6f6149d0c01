package instance

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/config"
	"gentianstand/internal/live"
	"gentianstand/internal/peer"
)

// fetchTimeout bounds the fetch of one configuration.
const fetchTimeout = 3 * time.Second

// configFollower puts newer configurations into force at this instance. It fetches them from the
// table or from another instance; the latter also works while the table is down.
type configFollower struct {
	current *config.Current
	store   *config.Store
	hub     *peer.Hub
	log     *logrus.Entry
	wake    chan uint64
}

func newConfigFollower(current *config.Current, store *config.Store, log *logrus.Entry) *configFollower {
	return &configFollower{current: current, store: store, log: log, wake: make(chan uint64, 1)}
}

// observeHead requests a fetch if the table's configuration is newer than the one in force.
func (f *configFollower) observeHead(head live.ConfigHead) {
	if head.Number > f.current.Number() {
		f.notify(head.Number)
	}
}

// notify requests a fetch of a configuration. Number 0 means that a peer has a newer
// configuration whose number is not known.
func (f *configFollower) notify(number uint64) {
	select {
	case f.wake <- number:
	default:
	}
}

func (f *configFollower) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case number := <-f.wake:
			f.fetch(ctx, number)
		}
	}
}

func (f *configFollower) fetch(ctx context.Context, number uint64) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	rec, ok := f.load(ctx, number)
	if !ok {
		return
	}
	if err := f.current.Install(rec); err != nil {
		f.log.WithError(err).WithField("config", rec.Number).Error("config_refused")
		return
	}
	f.log.WithFields(logrus.Fields{"config": rec.Number, "author": rec.Author}).Info("config_in_force")
}

func (f *configFollower) load(ctx context.Context, number uint64) (config.Record, bool) {
	if number > 0 {
		if rec, err := f.store.Load(ctx, number); err == nil {
			return rec, true
		}
	}
	return f.hub.FetchConfig(ctx, f.current.Number())
}
