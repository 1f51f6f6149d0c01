package planner

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	"gentianstand/internal/live"
	"gentianstand/internal/platform"
	standplatform "gentianstand/internal/standin/platform"
)

// holdingTable holds back the next write, as a network may, and returns no
// answer for it.
type holdingTable struct {
	*standplatform.Store
	hold bool
	held []platform.Tx
}

func (h *holdingTable) Commit(ctx context.Context, tx platform.Tx) error {
	if h.hold {
		h.hold = false
		h.held = append(h.held, tx)
		return platform.ErrUnavailable
	}
	return h.Store.Commit(ctx, tx)
}

func newHoldingTable(t *testing.T, epoch uint64) *holdingTable {
	t.Helper()
	h := &holdingTable{Store: standplatform.NewStore()}
	h.setEpoch(t, epoch)
	return h
}

func (h *holdingTable) setEpoch(t *testing.T, epoch uint64) {
	t.Helper()
	value, _ := json.Marshal(live.Shard{Name: live.PlannerShard, Epoch: epoch})
	tx := platform.Tx{ID: "shard", Puts: []platform.Put{{Key: live.ShardKey(live.PlannerShard), Value: value}}}
	if err := h.Store.Commit(context.Background(), tx); err != nil {
		t.Fatal(err)
	}
}

func put(value string) []platform.Put {
	return []platform.Put{{Key: "run/r/head", Value: []byte(value)}}
}

func (h *holdingTable) expect(t *testing.T, want string) {
	t.Helper()
	row, _ := h.Get(context.Background(), "run/r/head")
	if string(row.Value) != want {
		t.Fatalf("the row is %q, want %q", row.Value, want)
	}
}

// Guards against a delayed write that restores an earlier state of a run, so
// that a completed task runs again.
func TestLateWriteHasNoEffect(t *testing.T) {
	ctx := context.Background()
	h := newHoldingTable(t, 1)
	s := &sequence{table: h}
	if err := s.open(ctx, 1); err != nil {
		t.Fatal(err)
	}
	h.hold = true
	if err := s.commit(ctx, put("assigned"), nil); !errors.Is(err, platform.ErrUnavailable) {
		t.Fatal(err)
	}
	if err := s.commit(ctx, put("succeeded"), nil); err != nil {
		t.Fatal(err)
	}
	if err := h.Store.Commit(ctx, h.held[0]); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("late write: got %v, want ErrConflict", err)
	}
	h.expect(t, "succeeded")
}

// Guards against two planners writing runs at the same time.
func TestSupersededPlannerCannotWrite(t *testing.T) {
	ctx := context.Background()
	h := newHoldingTable(t, 1)
	old, next := &sequence{table: h}, &sequence{table: h}
	if err := old.open(ctx, 1); err != nil {
		t.Fatal(err)
	}
	h.hold = true
	_ = old.commit(ctx, put("late"), nil)
	h.setEpoch(t, 2)
	if err := next.open(ctx, 2); err != nil {
		t.Fatal(err)
	}
	if err := next.commit(ctx, put("next"), nil); err != nil {
		t.Fatal(err)
	}
	if err := h.Store.Commit(ctx, h.held[0]); !errors.Is(err, platform.ErrConflict) {
		t.Errorf("late write: got %v, want ErrConflict", err)
	}
	if err := old.commit(ctx, put("old"), nil); !errors.Is(err, errSuperseded) {
		t.Errorf("write of the previous planner: got %v, want errSuperseded", err)
	}
	if err := old.open(ctx, 1); !errors.Is(err, errSuperseded) {
		t.Errorf("open by the previous planner: got %v, want errSuperseded", err)
	}
	h.expect(t, "next")
}
