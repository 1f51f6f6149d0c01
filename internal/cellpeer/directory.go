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
	// replaced a few times an hour; a new one is needed by nobody at once.
	directoryPeriod = 1500 * time.Millisecond
	directoryWait   = time.Second
	// registerRetry is the pause before a failed registration is tried again.
	registerRetry = 300 * time.Millisecond
)

// Directory knows the instances that have registered themselves in the store.
type Directory struct {
	self  Instance
	store store.Store
	log   logrus.FieldLogger

	mu      sync.RWMutex
	others  map[string]Instance
	version uint64
	read    bool
}

// NewDirectory returns a directory that knows only this instance.
func NewDirectory(self Instance, s store.Store, log logrus.FieldLogger) *Directory {
	return &Directory{self: self, store: s, log: log, others: map[string]Instance{}}
}

// Self returns this instance.
func (d *Directory) Self() Instance { return d.self }

// Others returns the other instances in order of their names.
func (d *Directory) Others() []Instance {
	d.mu.RLock()
	defer d.mu.RUnlock()
	list := make([]Instance, 0, len(d.others))
	for _, i := range d.others {
		list = append(list, i)
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
	d.register(ctx)
	for ctx.Err() == nil {
		d.follow(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(directoryPeriod):
		}
	}
}

func (d *Directory) register(ctx context.Context) {
	value, err := cbor.Marshal(d.self)
	if err != nil {
		d.log.WithError(err).Error("instance_not_encoded")
		return
	}
	tx := store.Tx{Puts: []store.Put{{Table: tableInstances, Key: d.self.Name, Value: value}}}
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, directoryWait)
		_, err := d.store.Commit(callCtx, tx)
		cancel()
		if err == nil {
			return
		}
		d.log.WithError(err).Info("instance_not_registered")
		select {
		case <-ctx.Done():
		case <-time.After(registerRetry):
		}
	}
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
	if whole {
		d.others = map[string]Instance{}
	}
	d.version, d.read = version, true
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
		d.others[i.Name] = i
	}
}
