package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"gentianstand/internal/platform"
)

// The rate limits that the users specify for their table service.
const (
	WritesPerSecond = 400
	ReadsPerSecond  = 2000
)

// FaultyStore wraps a Store for one client. It injects the current faults and enforces the
// rate limits of the service.
type FaultyStore struct {
	store  *Store
	client string
	state  *faultState
}

type faultState struct {
	mu     sync.Mutex
	fault  Fault
	list   []platform.Instance
	writes *rate.Limiter
	reads  *rate.Limiter
}

// NewFaultyStore returns a wrapper of store without faults; ForClient returns the view of a
// client.
func NewFaultyStore(store *Store) *FaultyStore {
	return &FaultyStore{store: store, state: &faultState{
		writes: rate.NewLimiter(WritesPerSecond, WritesPerSecond),
		reads:  rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
	}}
}

// ForClient returns the view of the named client. All views share faults and limits.
func (f *FaultyStore) ForClient(client string) *FaultyStore {
	return &FaultyStore{store: f.store, client: client, state: f.state}
}

// SetFault replaces the current faults.
func (f *FaultyStore) SetFault(fault Fault) {
	list, _ := f.store.Instances(context.Background())
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	if fault.FreezeList && !f.state.fault.FreezeList {
		f.state.list = list
	}
	f.state.fault = fault
}

// Get implements platform.Table.
func (f *FaultyStore) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := f.enterTable(ctx, f.state.reads); err != nil {
		return platform.Row{}, err
	}
	return f.store.Get(ctx, key)
}

// Scan implements platform.Table.
func (f *FaultyStore) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := f.enterTable(ctx, f.state.reads); err != nil {
		return nil, err
	}
	return f.store.Scan(ctx, prefix, after, limit)
}

// Commit implements platform.Table.
func (f *FaultyStore) Commit(ctx context.Context, tx platform.Tx) error {
	if err := f.enterTable(ctx, f.state.writes); err != nil {
		return err
	}
	err := f.store.Commit(ctx, tx)
	if err == nil && f.loseAnswer() {
		return platform.ErrUnavailable
	}
	return err
}

// PutObject implements platform.Objects.
func (f *FaultyStore) PutObject(ctx context.Context, key string, data []byte) error {
	if err := f.enter(ctx, f.current().ObjectsDown); err != nil {
		return err
	}
	return f.store.PutObject(ctx, key, data)
}

// GetObject implements platform.Objects.
func (f *FaultyStore) GetObject(ctx context.Context, key string) ([]byte, error) {
	if err := f.enter(ctx, f.current().ObjectsDown); err != nil {
		return nil, err
	}
	return f.store.GetObject(ctx, key)
}

// Instances implements platform.Directory.
func (f *FaultyStore) Instances(ctx context.Context) ([]platform.Instance, error) {
	if err := f.enter(ctx, false); err != nil {
		return nil, err
	}
	f.state.mu.Lock()
	frozen, list := f.state.fault.FreezeList, f.state.list
	f.state.mu.Unlock()
	if frozen {
		return slices.Clone(list), nil
	}
	return f.store.Instances(ctx)
}

// enterTable is enter for the table, with a rate limit.
func (f *FaultyStore) enterTable(ctx context.Context, limit *rate.Limiter) error {
	if err := f.enter(ctx, f.current().TableDown); err != nil {
		return err
	}
	if !limit.Allow() {
		return platform.ErrUnavailable
	}
	return nil
}

// enter applies delay and faults at the start of a call.
func (f *FaultyStore) enter(ctx context.Context, down bool) error {
	fault := f.current()
	if fault.DelayMillis > 0 {
		select {
		case <-ctx.Done():
			return platform.ErrUnavailable
		case <-time.After(fault.delay()):
		}
	}
	if down || slices.Contains(fault.Cut, f.client) {
		return platform.ErrUnavailable
	}
	return nil
}

func (f *FaultyStore) current() Fault {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return f.state.fault
}

// loseAnswer reports whether the response to the current write is to be lost.
func (f *FaultyStore) loseAnswer() bool {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	if f.state.fault.LoseAnswers == 0 {
		return false
	}
	f.state.fault.LoseAnswers--
	return true
}
