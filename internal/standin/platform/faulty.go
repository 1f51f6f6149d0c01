package platform

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"gentianstand/internal/platform"
)

// The limits that the users name for their table service.
const (
	WritesPerSecond = 400
	ReadsPerSecond  = 2000
)

// Faulty is a Store seen by one client through the current faults and the
// service's limits.
type Faulty struct {
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

// NewFaulty returns a faultless view of store; For gives it to clients.
func NewFaulty(store *Store) *Faulty {
	return &Faulty{store: store, state: &faultState{
		writes: rate.NewLimiter(WritesPerSecond, WritesPerSecond),
		reads:  rate.NewLimiter(ReadsPerSecond, ReadsPerSecond),
	}}
}

// For returns the view of one named client. All views share their faults.
func (f *Faulty) For(client string) *Faulty {
	return &Faulty{store: f.store, client: client, state: f.state}
}

// Set replaces the current faults.
func (f *Faulty) Set(fault Fault) {
	list, _ := f.store.Instances(context.Background())
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	if fault.FreezeList && !f.state.fault.FreezeList {
		f.state.list = list
	}
	f.state.fault = fault
}

// Get implements platform.Table.
func (f *Faulty) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := f.enterTable(ctx, f.state.reads); err != nil {
		return platform.Row{}, err
	}
	return f.store.Get(ctx, key)
}

// Scan implements platform.Table.
func (f *Faulty) Scan(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	if err := f.enterTable(ctx, f.state.reads); err != nil {
		return nil, err
	}
	return f.store.Scan(ctx, prefix, after, limit)
}

// Commit implements platform.Table.
func (f *Faulty) Commit(ctx context.Context, tx platform.Tx) error {
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
func (f *Faulty) PutObject(ctx context.Context, key string, data []byte) error {
	if err := f.enter(ctx, f.current().ObjectsDown); err != nil {
		return err
	}
	return f.store.PutObject(ctx, key, data)
}

// GetObject implements platform.Objects.
func (f *Faulty) GetObject(ctx context.Context, key string) ([]byte, error) {
	if err := f.enter(ctx, f.current().ObjectsDown); err != nil {
		return nil, err
	}
	return f.store.GetObject(ctx, key)
}

// Instances implements platform.Directory.
func (f *Faulty) Instances(ctx context.Context) ([]platform.Instance, error) {
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

func (f *Faulty) enterTable(ctx context.Context, limit *rate.Limiter) error {
	if err := f.enter(ctx, f.current().TableDown); err != nil {
		return err
	}
	if !limit.Allow() {
		return platform.ErrUnavailable
	}
	return nil
}

func (f *Faulty) enter(ctx context.Context, down bool) error {
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

func (f *Faulty) current() Fault {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	return f.state.fault
}

func (f *Faulty) loseAnswer() bool {
	f.state.mu.Lock()
	defer f.state.mu.Unlock()
	if f.state.fault.LoseAnswers == 0 {
		return false
	}
	f.state.fault.LoseAnswers--
	return true
}
