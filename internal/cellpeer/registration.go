package cellpeer

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentianstand/internal/store"
)

// pause returns the time until the next read of the list by an instance of the given age.
func (d *Directory) pause(age time.Duration) time.Duration {
	switch {
	case d.isRegistered():
		return readPeriod(age)
	case d.refused:
		return registerRetry
	}
	return initialReadPeriod
}

func (d *Directory) isRegistered() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.registered
}

// markRenewed records that this instance's row was renewed; d.mu must be held.
func (d *Directory) markRenewed() {
	d.registered, d.renewedAt = true, time.Now()
}

// renew writes this instance's row if it is not registered or renewPeriod has passed. If the instance has
// been removed from the list meanwhile, it is removed again.
func (d *Directory) renew(ctx context.Context) {
	if !d.renewalDue() {
		return
	}
	d.writeRow(ctx)
	if d.isLeaving() {
		d.removeRow(ctx)
	}
}

func (d *Directory) renewalDue() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return !d.leaving && (!d.registered || time.Since(d.renewedAt) >= renewPeriod)
}

func (d *Directory) isLeaving() bool {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.leaving
}

// Unregister removes this instance from the list for good.
func (d *Directory) Unregister(ctx context.Context) {
	d.mu.Lock()
	d.leaving = true
	d.mu.Unlock()
	d.removeRow(ctx)
}

// removeRow removes this instance's row. If that fails, other instances drop the row when it becomes stale.
func (d *Directory) removeRow(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	tx := store.Tx{Removals: []store.RowKey{{Table: tableInstances, Key: d.self.Name}}}
	if _, err := d.store.Commit(callCtx, tx); err != nil {
		d.log.WithError(err).Info("instance_not_unregistered")
	}
}

// writeRow writes this instance's row.
func (d *Directory) writeRow(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, directoryTimeout)
	defer cancel()
	_, err := d.store.Commit(callCtx, d.row)
	d.refused = errors.Is(err, store.ErrUnavailable)
	if err != nil {
		d.log.WithError(err).Info("instance_not_registered")
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.markRenewed()
}

// recognize handles this instance's own row. A new version of this process shows that a write took effect,
// if without an answer. d.mu must be held.
func (d *Directory) recognize(row store.Row) {
	var i Instance
	if row.Removed || row.Version <= d.ownVersion || cbor.Unmarshal(row.Value, &i) != nil {
		return
	}
	if i.Incarnation == d.self.Incarnation {
		d.ownVersion = row.Version
		d.markRenewed()
	}
}
