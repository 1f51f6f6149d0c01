package cell

import (
	"testing"
	"time"

	"gentianstand/internal/catalog"
	"gentianstand/internal/job"
)

// calmShareInTime replays a workspace that sends twelve times its share beside one that stays
// within its own, more than fits together, and returns the share of the other's jobs that
// meet the objective.
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

// Failure: a workspace that sends many times its share makes the jobs of others late.
func TestLoadHotWorkspaceBesideAQuietOne(t *testing.T) {
	if got := calmShareInTime(t, MechanismSet{}); got < 0.9 {
		t.Errorf("%.2f of the other workspace's jobs are in time", got)
	}
	if got := calmShareInTime(t, MechanismSet{FairShares: {}}); got > 0.5 {
		t.Errorf("without fair shares %.2f are: the load is too small to tell anything", got)
	}
}

// Failure: a workspace cannot use what nobody else wants.
func TestLoneWorkspaceUsesEverything(t *testing.T) {
	l := newLoad(t, 4)
	l.cell.Configure(catalog.New(catalog.Content{Version: 1, Workspaces: []catalog.Workspace{{Name: "hot", Weight: 1}}}))
	for range 8 {
		l.submitFor("hot", "letters", 2, letters(8))
	}
	l.run(time.Second, nil)
	if free := l.cell.Stats(l.now).FreeShare; free > urgentReserve+0.1 {
		t.Errorf("%.2f of the processors are free beside waiting work", free)
	}
}

// Failure: after a take-over all jobs of a hot workspace count as within its share.
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
			t.Errorf("job %s beyond the share: %v", id, j.overShare)
		}
	}
}
