package cellleader_test

import (
	"fmt"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"gentianstand/internal/job"
	"gentianstand/platform/standin"
)

// A stopping owner must hand over the cell: without that, a planned restart stalled all work for
// seconds.
func TestStoppingOwnerHandsOver(t *testing.T) {
	members := group(t, 3)
	first := owner(t, members)
	first.leader.HandOver(t.Context())
	if first.owns() {
		t.Error("the owner still owns the cell")
	}
	next := owner(t, without(members, first))
	if next.term.Load() != first.term.Load()+1 || !next.previousStopped.Load() {
		t.Errorf("term %d after %d, previous owner known to have stopped: %v", next.term.Load(), first.term.Load(), next.previousStopped.Load())
	}
}

// Guards against a rolling restart in which the cell goes from one instance to the next that restarts:
// the owner does not know yet which instances have restarted.
func TestStoppingOwnerHandsOverToTheYoungestInstance(t *testing.T) {
	backing := httptest.NewServer(standin.NewStore())
	t.Cleanup(backing.Close)
	before := time.Now().Add(-time.Minute)
	members := []*member{joinStarted(t, "edge-0", backing.Listener.Addr().String(), 1, before), joinStarted(t, "edge-1", backing.Listener.Addr().String(), 1, before)}
	first := owner(t, members)
	youngest := join(t, "edge-2", backing.Listener.Addr().String())
	for end := time.Now().Add(30 * time.Second); !youngest.registered() && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	first.leader.HandOver(t.Context())
	if next := owner(t, append(without(members, first), youngest)); next != youngest {
		t.Error("the cell went to an older instance")
	}
}

// Guards against a hand-over in a slow store that stalls all work until other instances find the
// owner unresponsive.
func TestStoppingOwnerHandsOverInASlowStore(t *testing.T) {
	members := group(t, 3)
	first := owner(t, members)
	for n := range 400 {
		id := fmt.Sprintf("%016x", n+1)
		first.leader.Submitted(&job.Record{ID: id, Queue: "q", Service: "desk", MaxAttempts: 1, Steps: []job.Step{{Count: 1}}})
		first.leader.Cancelled(id)
	}
	first.proxy.Delay(400 * time.Millisecond)
	first.leader.HandOver(t.Context())
	taken := slices.ContainsFunc(without(members, first), func(m *member) bool {
		_, self := m.leader.Owner()
		return self
	})
	if !taken {
		t.Error("no instance has taken over the cell when the hand-over ends")
	}
}

// A hand-over must wait until an unresponsive previous owner can no longer act; otherwise a task
// could run twice.
func TestHandOverWaitsUntilTheUnresponsiveOwnerCannotAct(t *testing.T) {
	members := group(t, 3)
	first := owner(t, members)
	first.front.Cut(true, true)
	second := owner(t, without(members, first))
	second.leader.HandOver(t.Context())
	third := owner(t, without(without(members, first), second))
	if third.term.Load() <= second.term.Load() || !third.previousStopped.Load() {
		t.Errorf("term %d after %d, previous owners known to have stopped: %v", third.term.Load(), second.term.Load(), third.previousStopped.Load())
	}
	const canAct, clockSlack = 1500 * time.Millisecond, 50 * time.Millisecond
	if passed := time.Duration(third.takenAt.Load() - second.takenAt.Load()); passed < canAct-clockSlack {
		t.Errorf("handed over %v after the takeover; the first owner could act for %v", passed, canAct)
	}
}

// A weak owner must yield: after a short absence of the strong instances, everything stayed slow.
func TestWeakOwnerYieldsToAStrongerInstance(t *testing.T) {
	backing := httptest.NewServer(standin.NewStore())
	t.Cleanup(backing.Close)
	weak := joinWith(t, "edge-weak", backing.Listener.Addr().String(), 0.2)
	owner(t, []*member{weak})
	strong := joinWith(t, "edge-strong", backing.Listener.Addr().String(), 0.8)
	for end := time.Now().Add(30 * time.Second); !strong.owns() && time.Now().Before(end); {
		time.Sleep(20 * time.Millisecond)
	}
	if !strong.owns() || weak.owns() {
		t.Fatalf("strong owns %v, weak owns %v", strong.owns(), weak.owns())
	}
	if !strong.previousStopped.Load() {
		t.Error("the new owner does not know that the previous one has stopped")
	}
}
