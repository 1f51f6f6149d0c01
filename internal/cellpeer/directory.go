package cellpeer

import (
	"context"
	"errors"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"gentianstand/internal/store"
)

const (
	tableInstances = "instances"
	// directoryPeriod is how often the list of instances is read. Instances are
	// replaced a few times an hour; a new one is needed by nobody at once, and every
	// instance makes these calls.
	directoryPeriod = 5 * time.Second
	// youngPeriod is directoryPeriod for the first youngFor of an instance: those that
	// start together register one after the other.
	youngPeriod   = 1500 * time.Millisecond
	youngFor      = 12 * time.Second
	directoryWait = time.Second
	// registerRetry is the pause before a failed registration is tried again.
	registerRetry = 300 * time.Millisecond
	// renewPeriod is how often an instance writes its row anew, so that others see
	// that it lives.
	renewPeriod = 20 * time.Second
	// goneAfter is how long a row may stay unchanged, on the reader's clock, before
	// its instance is taken as gone: three renewals and some time.
	goneAfter = 70 * time.Second
	// removeAfter is how long a row may stay unchanged before it is removed.
	removeAfter = 10 * time.Minute
	// readGap is the time between two reads from which all rows start afresh: while
	// the store was away, nobody could renew.
	readGap = 10 * time.Second
)

// Directory knows the instances that have registered themselves in the store. Rows are
// renewed, and those that are not are passed over: an instance that is replaced for good
// leaves its row behind.
type Directory struct {
	self  Instance
	store store.Store
	log   logrus.FieldLogger

	mu      sync.RWMutex
	others  map[string]listed
	version uint64
	read    bool
	// readAt is when the list was last read.
	readAt time.Time
	// row is what this instance writes, renewedAt when it last did; only Run uses
	// them.
	row       store.Tx
	renewedAt time.Time
}

// NewDirectory returns a directory that knows only this instance.
func NewDirectory(self Instance, s store.Store, log logrus.FieldLogger) *Directory {
	return &Directory{self: self, store: s, log: log, others: map[string]listed{}}
}

// Self returns this instance.
func (d *Directory) Self() Instance { return d.self }

// Others returns the other instances in order of their names.
func (d *Directory) Others() []Instance {
	d.mu.RLock()
	defer d.mu.RUnlock()
	list := make([]Instance, 0, len(d.others))
	for _, l := range d.others {
		if l.unchangedFor(d.readAt) < goneAfter {
			list = append(list, l.Instance)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Name < list[b].Name })
	return list
}

// Sample returns n other instances at random, or all if there are fewer.
func (d *Directory) Sample(n int) []Instance {
	others := d.Others()
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	return others[:min(len(others), n)]
}

// Known reports whether the list was read at least once.
func (d *Directory) Known() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.read
}

// Run registers this instance and follows the list until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	began := time.Now()
	d.register(ctx)
	for ctx.Err() == nil {
		d.follow(ctx)
		d.renew(ctx)
		d.removeOld(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(readPeriod(time.Since(began))):
		}
	}
}

// readPeriod is how often an instance of some age reads the list.
func readPeriod(age time.Duration) time.Duration {
	if age < youngFor {
		return youngPeriod
	}
	return directoryPeriod
}

// WatchStore notices the return of a lost store by asking for this instance's own row.
func (d *Directory) WatchStore(ctx context.Context, s *store.Monitored) {
	s.ProbeRecovery(ctx, tableInstances, "", d.self.Name)
}

func (d *Directory) register(ctx context.Context) {
	value, err := cbor.Marshal(d.self)
	if err != nil {
		d.log.WithError(err).Error("instance_not_encoded")
		return
	}
	d.row = store.Tx{Puts: []store.Put{{Table: tableInstances, Key: d.self.Name, Value: value}}}
	for ctx.Err() == nil && !d.write(ctx) {
		select {
		case <-ctx.Done():
		case <-time.After(registerRetry):
		}
	}
}

// renew writes this instance's row anew if it is time.
func (d *Directory) renew(ctx context.Context) {
	if time.Since(d.renewedAt) >= renewPeriod {
		d.write(ctx)
	}
}

func (d *Directory) write(ctx context.Context) bool {
	callCtx, cancel := context.WithTimeout(ctx, directoryWait)
	defer cancel()
	if _, err := d.store.Commit(callCtx, d.row); err != nil {
		d.log.WithError(err).Info("instance_not_registered")
		return false
	}
	d.renewedAt = time.Now()
	return true
}

// removeOld removes one row that was not renewed for long, unless it has changed
// since.
func (d *Directory) removeOld(ctx context.Context) {
	old, ok := d.oldest()
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, directoryWait)
	defer cancel()
	_, err := d.store.Commit(callCtx, store.Tx{
		Checks:   []store.Check{{Table: tableInstances, Key: old.Name, Version: old.version}},
		Removals: []store.RowKey{{Table: tableInstances, Key: old.Name}},
	})
	d.log.WithField("peer", old.Name).WithError(err).Info("dead_instance_removed")
}

// oldest returns an instance whose row is to be removed.
func (d *Directory) oldest() (listed, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, l := range d.others {
		if l.unchangedFor(d.readAt) >= removeAfter {
			return l, true
		}
	}
	return listed{}, false
}

// Leave removes this instance from the list.
func (d *Directory) Leave(ctx context.Context) {
	tx := store.Tx{Removals: []store.RowKey{{Table: tableInstances, Key: d.self.Name}}}
	if _, err := d.store.Commit(ctx, tx); err != nil {
		// Others find it silent and pass it over.
		d.log.WithError(err).Info("instance_not_unregistered")
	}
}

func (d *Directory) follow(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, directoryWait)
	defer cancel()
	var rows []store.Row
	d.mu.RLock()
	version, read := d.version, d.read
	d.mu.RUnlock()
	var err error
	if read {
		var page store.Page
		page, err = d.store.Changes(callCtx, tableInstances, version, 0)
		rows, version = page.Rows, page.Version
	}
	whole := !read || errors.Is(err, store.ErrHistoryGone)
	if whole {
		rows, version, err = store.ReadAll(callCtx, d.store, tableInstances, "")
	}
	if err != nil {
		d.log.WithError(err).Debug("directory_not_read")
		return
	}
	d.takeIn(rows, version, whole)
}

func (d *Directory) takeIn(rows []store.Row, version uint64, whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	before := d.others
	if whole {
		d.others = map[string]listed{}
	}
	if now.Sub(d.readAt) > readGap {
		d.startAfresh(now)
		before = nil
	}
	d.version, d.read, d.readAt = version, true, now
	for _, row := range rows {
		if row.Key == d.self.Name {
			continue
		}
		if row.Removed {
			delete(d.others, row.Key)
			continue
		}
		var i Instance
		if err := cbor.Unmarshal(row.Value, &i); err != nil {
			d.log.WithField("peer", row.Key).WithError(err).Warn("instance_unreadable")
			continue
		}
		l := listed{Instance: i, version: row.Version, changedAt: now}
		if known, ok := before[i.Name]; ok && known.version == row.Version {
			l.changedAt = known.changedAt
		}
		d.others[i.Name] = l
	}
}

// startAfresh has all rows count as changed now; d.mu is held.
func (d *Directory) startAfresh(now time.Time) {
	for name, l := range d.others {
		l.changedAt = now
		d.others[name] = l
	}
}
