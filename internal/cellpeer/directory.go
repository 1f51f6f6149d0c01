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
	// directoryReadPeriod is how often the list of instances is read. Instances are
	// replaced a few times an hour, no caller needs a new one immediately, and every
	// instance makes these calls.
	directoryReadPeriod = 5 * time.Second
	// initialReadPeriod replaces directoryReadPeriod during an instance's initialPhase:
	// instances that start together register one after the other.
	initialReadPeriod = 1500 * time.Millisecond
	initialPhase      = 12 * time.Second
	// directoryTimeout bounds a call to the store.
	directoryTimeout = time.Second
	// registerRetry is the pause before a registration that the store refused is retried. After one
	// without an answer, which may have taken effect, the pause is initialReadPeriod.
	registerRetry = 300 * time.Millisecond
	// renewPeriod is how often an instance rewrites its row to show other instances that it
	// is alive.
	renewPeriod = 20 * time.Second
	// staleAfter is how long a row may stay unchanged, on the reader's clock, before its
	// instance counts as gone: 3 renewals and a margin.
	staleAfter = 70 * time.Second
	// removeAfter is how long a row may stay unchanged before it is removed.
	removeAfter = 10 * time.Minute
	// maxReadGap is how much of the time between two reads counts towards the ages of the rows:
	// if the store was unavailable, no instance could renew its row.
	maxReadGap = 10 * time.Second
)

// Directory lists the instances that have registered in the store. An instance that is
// replaced for good leaves its row behind, so instances renew their rows, and rows that are
// not renewed are ignored. Directory is safe for concurrent use.
type Directory struct {
	self  Instance
	store store.Store
	log   logrus.FieldLogger

	// readMu serializes the reads, so that an older one does not overwrite a newer one.
	readMu  sync.Mutex
	mu      sync.RWMutex
	others  map[string]instanceRow
	version uint64
	read    bool
	// readAt is when the list was last read.
	readAt time.Time
	// registered is set once this instance's row is known to be in the store, ownVersion is the version
	// at which it was last read, and renewedAt is when it was last known to be renewed.
	registered bool
	ownVersion uint64
	renewedAt  time.Time
	// leaving is set once this instance has begun to remove its row.
	leaving bool
	// row is the transaction that writes this instance's row, and refused is set if the store refused the
	// last attempt. Only Run uses them.
	row     store.Tx
	refused bool
}

// NewDirectory returns a directory that contains only this instance.
func NewDirectory(self Instance, s store.Store, log logrus.FieldLogger) *Directory {
	return &Directory{self: self, store: s, log: log, others: map[string]instanceRow{}}
}

// Self returns this instance.
func (d *Directory) Self() Instance { return d.self }

// Others returns the other instances in order of their names.
func (d *Directory) Others() []Instance {
	d.mu.RLock()
	defer d.mu.RUnlock()
	list := make([]Instance, 0, len(d.others))
	for _, l := range d.others {
		if l.unchangedFor(d.readAt) < staleAfter {
			list = append(list, l.Instance)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Name < list[b].Name })
	return list
}

// Sample returns n random other instances, or all of them if there are fewer.
func (d *Directory) Sample(n int) []Instance {
	others := d.Others()
	rand.Shuffle(len(others), func(a, b int) { others[a], others[b] = others[b], others[a] })
	return others[:min(len(others), n)]
}

// Loaded reports whether this instance has registered and the list was read at least once.
func (d *Directory) Loaded() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.registered && d.read
}

// Run registers this instance and keeps the list up to date until ctx ends. It reads the list whether or
// not the registration is answered: while the store is slow, answers may always come too late.
func (d *Directory) Run(ctx context.Context) {
	value, err := cbor.Marshal(d.self)
	if err != nil {
		d.log.WithError(err).Error("instance_not_encoded")
		return
	}
	d.row = store.Tx{Puts: []store.Put{{Table: tableInstances, Key: d.self.Name, Value: value}}}
	began := time.Now()
	for ctx.Err() == nil {
		d.renew(ctx)
		d.follow(ctx)
		d.removeStale(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(d.pause(time.Since(began))):
		}
	}
}

// readPeriod returns how often an instance of the given age reads the list.
func readPeriod(age time.Duration) time.Duration {
	if age < initialPhase {
		return initialReadPeriod
	}
	return directoryReadPeriod
}

// WatchStore detects the recovery of a lost store by reading this instance's own row.
func (d *Directory) WatchStore(ctx context.Context, s *store.Monitored) {
	s.ProbeRecovery(ctx, tableInstances, "", d.self.Name)
}

// removeStale removes one row that was not renewed for removeAfter, unless the row has
// changed since the last read.
func (d *Directory) removeStale(ctx context.Context) {
	old, ok := d.removable()
	if !ok {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	_, err := d.store.Commit(callCtx, store.Tx{
		Checks:   []store.Check{{Table: tableInstances, Key: old.Name, Version: old.version}},
		Removals: []store.RowKey{{Table: tableInstances, Key: old.Name}},
	})
	d.log.WithField("peer", old.Name).WithError(err).Info("dead_instance_removed")
}

// removable returns an instance whose row was not renewed for removeAfter.
func (d *Directory) removable() (instanceRow, bool) {
	d.mu.RLock()
	defer d.mu.RUnlock()
	for _, l := range d.others {
		if l.unchangedFor(d.readAt) >= removeAfter {
			return l, true
		}
	}
	return instanceRow{}, false
}

// Refresh reads the list of instances now. It returns after limit at the latest, with the list as
// it is then.
func (d *Directory) Refresh(ctx context.Context, limit time.Duration) {
	read := make(chan struct{})
	go func() {
		defer close(read)
		d.follow(ctx)
	}()
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-read:
	case <-timer.C:
	}
}

// follow reads the changes of the list, or the whole list if the changes are not available.
func (d *Directory) follow(ctx context.Context) {
	d.readMu.Lock()
	defer d.readMu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, directoryTimeout)
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
	d.applyRows(rows, version, whole)
}

// applyRows updates the list with rows that were read; whole reports that they are the
// complete table.
func (d *Directory) applyRows(rows []store.Row, version uint64, whole bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if gap := now.Sub(d.readAt); d.read && gap > maxReadGap {
		d.reduceAges(gap - maxReadGap)
	}
	before := d.others
	if whole {
		d.others = map[string]instanceRow{}
	}
	d.version, d.read, d.readAt = version, true, now
	for _, row := range rows {
		if row.Key == d.self.Name {
			d.recognize(row)
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
		l := instanceRow{Instance: i, version: row.Version, changedAt: now}
		if known, ok := before[i.Name]; ok && known.version == row.Version {
			l.changedAt = known.changedAt
		}
		d.others[i.Name] = l
	}
}

// reduceAges makes all rows count as changed later by a duration; d.mu must be held.
func (d *Directory) reduceAges(by time.Duration) {
	for name, l := range d.others {
		l.changedAt = l.changedAt.Add(by)
		d.others[name] = l
	}
}
