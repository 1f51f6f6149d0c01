package cellleader

import (
	"context"
	"sync"
	"time"

	"gentianstand/internal/store"
)

// memoryStore is a store that several instances share.
type memoryStore struct {
	mu      sync.Mutex
	rows    map[store.RowKey]store.Row
	version uint64
}

func newMemoryStore() *memoryStore { return &memoryStore{rows: map[store.RowKey]store.Row{}} }

// memoryAccess is one instance's access to a memoryStore. While lost is set, no call is carried out.
type memoryAccess struct {
	*memoryStore
	lost bool
}

func (a *memoryAccess) lose(lost bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lost = lost
}

func (a *memoryAccess) Commit(_ context.Context, tx store.Tx) (uint64, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lost {
		return 0, store.ErrUnavailable
	}
	for _, c := range tx.Checks {
		if row := a.rows[store.RowKey{Table: c.Table, Key: c.Key}]; row.Version != c.Version {
			return 0, &store.ConflictError{Rows: []store.Row{row}}
		}
	}
	a.version++
	for _, p := range tx.Puts {
		a.rows[store.RowKey{Table: p.Table, Key: p.Key}] = store.Row{Table: p.Table, Partition: tx.Partition, Key: p.Key, Value: p.Value, Version: a.version}
	}
	return a.version, nil
}

func (a *memoryAccess) Get(_ context.Context, table, _, key string) (store.Row, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lost {
		return store.Row{}, store.ErrUnavailable
	}
	return a.rows[store.RowKey{Table: table, Key: key}], nil
}

func (a *memoryAccess) Read(_ context.Context, table, _, _ string) (store.Page, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lost {
		return store.Page{}, store.ErrUnavailable
	}
	page := store.Page{Version: a.version}
	for key, row := range a.rows {
		if key.Table == table {
			page.Rows = append(page.Rows, row)
		}
	}
	return page, nil
}

// Changes waits, and returns that the history is gone, so that the table is read again.
func (a *memoryAccess) Changes(ctx context.Context, _ string, _ uint64, wait time.Duration) (store.Page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return store.Page{}, store.ErrUnknown
	case <-timer.C:
		return store.Page{}, store.ErrHistoryGone
	}
}
