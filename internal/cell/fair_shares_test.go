package cell

import (
	"testing"
	"time"

	"gentianstand/internal/catalog"
	"gentianstand/internal/job"
)

// calmShareInTime simulates a workspace that submits 12 times its share beside one that stays
// within its own; together they exceed the capacity. It returns the share of the other workspace's
// jobs that meet their objective.
func calmShareInTime(t *testing.T, without MechanismSet) float64 {
	l := newLoad(t, 24)
	l.cell.settings.Disabled = without
	l.cell.Configure(catalog.New(catalog.Content{Version: 1, Workspaces: []catalog.Workspace{{Name: "hot", Weight: 1}, {Name: "calm", Weight: 2}}}))
	var calm []string
	next := l.now
	l.run(20*time.Second, func() {
		if l.now.Before(next) {
			return
		}
		next = next.Add(time.Second)
		for range 12 {
			l.submitFor("hot", "letters", 2, letters(8))
		}
		calm = append(calm, l.submitFor("calm", "letters", 2, letters(8)))
	})
	l.run(12*time.Second, nil)
	inTime := 0
	for _, id := range calm {
		if done, ok := l.completed[id]; ok && done.Sub(l.submitted[id]) <= l.cell.jobs[id].record.Objective() {
			inTime++
		}
	}
	return float64(inTime) / float64(len(calm))
}

// Guards against a workspace that submits many times its share and makes the jobs of others late.
func TestLoadHotWorkspaceBesideAQuietOne(t *testing.T) {
	if got := calmShareInTime(t, MechanismSet{}); got < 0.9 {
		t.Errorf("a share of %.2f of the other workspace's jobs is in time, want 0.9 at least", got)
	}
	if got := calmShareInTime(t, MechanismSet{FairShares: {}}); got > 0.5 {
		t.Errorf("without fair shares a share of %.2f is in time: the load is too small to show the effect", got)
	}
}

// Guards against a workspace that cannot use capacity which no other workspace needs.
func TestLoneWorkspaceUsesEverything(t *testing.T) {
	l := newLoad(t, 4)
	l.cell.Configure(catalog.New(catalog.Content{Version: 1, Workspaces: []catalog.Workspace{{Name: "hot", Weight: 1}}}))
	for range 8 {
		l.submitFor("hot", "letters", 2, letters(8))
	}
	l.run(time.Second, nil)
	if free := l.cell.Stats(l.now).FreeShare; free > urgentReserve+0.1 {
		t.Errorf("a share of %.2f of the processors is free while work waits", free)
	}
}

// Guards against a takeover after which all jobs of a hot workspace count as within its share.
func TestNewOwnerMetersInTheOrderOfAcceptance(t *testing.T) {
	s := newSite(t, 2, usualWorker("a"))
	s.cell.Configure(catalog.New(catalog.Content{Version: 1, Workspaces: []catalog.Workspace{{Name: "north", Weight: 1}}}))
	for _, n := range []int{3, 1, 2} {
		r := s.recordOf("north", n, step(1))
		r.AcceptedAt = s.now.Add(time.Duration(n) * 100 * time.Millisecond)
		s.cell.Load(r, &job.Progress{})
	}
	s.plan()
	for id, j := range s.cell.jobs {
		if first := id == "0000000000000001"; j.overShare == first {
			t.Errorf("job %s: beyond the share is %v, want the opposite", id, j.overShare)
		}
	}
}
