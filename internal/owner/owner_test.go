package owner

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gentianstand/internal/fault"
	"gentianstand/internal/fleet"
	"gentianstand/internal/membership"
	"gentianstand/internal/routing"
	"gentianstand/internal/worker"
)

// fakeDeps is a gate that always permits actions and a planner that accepts all reports.
type fakeDeps struct{}

func (fakeDeps) MayAct(time.Time) bool { return true }

func (fakeDeps) Report(context.Context, bool, []fleet.Report) (uint64, error) { return 0, nil }

func newTestOwner() *Owner {
	log := logrus.New()
	log.SetOutput(io.Discard)
	dial := func(string) worker.Agent { return nil }
	return New("o", membership.DefaultTiming(), fakeDeps{}, dial, routing.NewRouter(), fakeDeps{}, metrics.NewSet(), logrus.NewEntry(log))
}

// Guards against a start that is lost until the next full report because its
// worker has a new owner.
func TestOrderForReassignedWorker(t *testing.T) {
	order := fleet.Order{PlannerEpoch: 1, Sequence: 1, Assignments: []fleet.Assignment{{Worker: "w", Epoch: 1}}}
	if err := newTestOwner().Assign(order); !fault.Is(err, fault.NotOwner) {
		t.Errorf("Assign: got %v, want a NotOwner fault", err)
	}
}

// Guards against a delayed order that starts a completed and forgotten task
// again.
func TestOrdersAreAcceptedInSequence(t *testing.T) {
	o := newTestOwner()
	steps := []struct {
		name            string
		epoch, sequence uint64
		want            fault.Kind
	}{
		{"first", 1, 2, ""},
		{"delivered late", 1, 1, fault.Conflict},
		{"repeated", 1, 2, fault.Conflict},
		{"next", 1, 3, ""},
		{"first of a later planner", 2, 1, ""},
		{"previous planner", 1, 9, fault.NotOwner},
	}
	for _, s := range steps {
		err := o.Assign(fleet.Order{PlannerEpoch: s.epoch, Sequence: s.sequence})
		if (err == nil) != (s.want == "") || (err != nil && !fault.Is(err, s.want)) {
			t.Errorf("%s: got %v, want %q", s.name, err, s.want)
		}
	}
}
