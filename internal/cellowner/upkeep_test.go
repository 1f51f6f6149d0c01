package cellowner

import (
	"context"
	"slices"
	"testing"
	"time"

	"gentianstand/internal/cell"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/runner"
	"gentianstand/internal/store"
	"gentianstand/internal/upkeep"
)

// oneWave is a source with one wave, and what was reported of it.
type oneWave struct {
	wave      upkeep.Wave
	completed bool
}

func (o *oneWave) Unfinished(context.Context) ([]upkeep.Wave, error) {
	if o.completed {
		return nil, nil
	}
	return []upkeep.Wave{o.wave}, nil
}

func (o *oneWave) Report(_ context.Context, _ uint64, completed bool) error {
	o.completed = completed
	return nil
}

// smallFleet carries orders out at once, or refuses them.
type smallFleet struct {
	machines []upkeep.Machine
	orders   []upkeep.Order
	refuse   error
}

func (f *smallFleet) Machines(context.Context) ([]upkeep.Machine, error) { return f.machines, nil }

func (f *smallFleet) Begin(_ context.Context, o upkeep.Order) error {
	f.orders = append(f.orders, o)
	if f.refuse != nil {
		return f.refuse
	}
	for i := range f.machines {
		if f.machines[i].Name == o.Machine {
			f.machines[i].Worker = "next life"
		}
	}
	return nil
}

// rows is a store that keeps the last write.
type rows struct {
	store.Store
	row store.Row
}

func (r *rows) Get(context.Context, string, string, string) (store.Row, error) { return r.row, nil }

func (r *rows) Commit(_ context.Context, tx store.Tx) (uint64, error) {
	r.row = store.Row{Value: tx.Puts[0].Value, Version: r.row.Version + 1}
	return r.row.Version, nil
}

// recordedLeadership notes why the ownership was given up.
type recordedLeadership struct{ lost []string }

func (r *recordedLeadership) Confirmed() bool       { return true }
func (r *recordedLeadership) Superseded(why string) { r.lost = append(r.lost, why) }

// upkeeperOfOne returns an upkeeper of a wave of one machine, whose worker is idle.
func upkeeperOfOne(t *testing.T, f *smallFleet, kept *rows, l Leadership, age time.Duration) (*upkeeper, *oneWave) {
	t.Helper()
	o, _ := ownerOfOne(t, &losing{})
	o.term = 7
	o.deps.Store, o.deps.Leadership, o.deps.Jobs = kept, l, celljobs.New(store.NewMonitored(kept), "cell")
	source := &oneWave{wave: upkeep.Wave{Number: 3, Machines: []string{"m-1"}, TargetDuration: time.Second, MaxConcurrent: 1}}
	f.machines = []upkeep.Machine{{Name: "m-1", Worker: "idle", Up: true}}
	u := &upkeeper{owner: o, beganAt: time.Now().Add(-age), trackers: map[uint64]*upkeep.Tracker{},
		MaintenanceDeps: MaintenanceDeps{Source: source, Fleet: f, Holder: "edge-1", HolderLease: 3 * time.Second}}
	o.cell.Plan(time.Now().Add(10*time.Second), cell.AdviceSlots{})
	return u, source
}

func TestWaveOfOneMachine(t *testing.T) {
	f, kept := &smallFleet{}, &rows{}
	u, source := upkeeperOfOne(t, f, kept, confirmed{}, time.Hour)
	u.readWaves(t.Context())
	for range 4 {
		u.tend(t.Context())
	}
	want := []upkeep.Order{{Machine: "m-1", Wave: 3, Holder: "edge-1", Token: 7}}
	if !slices.Equal(f.orders, want) {
		t.Errorf("orders %v, want %v", f.orders, want)
	}
	if !source.completed || len(u.trackers) > 0 {
		t.Errorf("completed %v, %d trackers left", source.completed, len(u.trackers))
	}
	if had, err := upkeep.DecodeBegunMachines(kept.row.Value); err != nil || !slices.Equal(had, []string{"m-1"}) {
		t.Errorf("stored %v, %v", had, err)
	}
}

// Failure: two holders order about one machine in turn.
func TestNewOwnerWaitsForTheEarlierHoldersLease(t *testing.T) {
	f := &smallFleet{}
	u, _ := upkeeperOfOne(t, f, &rows{}, confirmed{}, 0)
	u.readWaves(t.Context())
	for range 4 {
		u.tend(t.Context())
	}
	if len(f.orders) > 0 {
		t.Errorf("ordered at once: %v", f.orders)
	}
}

// Failure: an overtaken owner goes on ordering about machines.
func TestFencedUpkeepOrderGivesTheOwnershipUp(t *testing.T) {
	f, l := &smallFleet{refuse: upkeep.ErrFenced}, &recordedLeadership{}
	u, source := upkeeperOfOne(t, f, &rows{}, l, time.Hour)
	u.readWaves(t.Context())
	for range 4 {
		u.tend(t.Context())
	}
	if len(l.lost) != 1 || source.completed {
		t.Errorf("given up %d times, completed %v", len(l.lost), source.completed)
	}
	if len(f.orders) != 1 {
		t.Errorf("%d orders, want no more after the refusal", len(f.orders))
	}
}

var _ runner.Client = &losing{}
