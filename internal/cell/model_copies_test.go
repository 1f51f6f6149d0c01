package cell

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gentianstand/internal/job"
)

// Guards against a workspace that exceeds its quota after takeovers in a row, as each owner may have
// started copies of the same task on workers that the next one does not reach.
func TestModelCopiesAfterTakeovers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &stepsModel{model: newModel(rt), unreached: map[string]bool{}}
		m.quotas.caps[0] = rapid.IntRange(3, 5).Draw(rt, "cap of all owners")
		m.storeDown = true
		m.submitToQuota(1, true)
		for range rapid.IntRange(1, 3).Draw(rt, "owners") {
			m.actBesideLostAnswers()
			m.takeOver(rapid.Bool().Draw(rt, "previous owner stopped"))
			m.loseBusyWorkers()
		}
		m.actBesideLostAnswers()
		m.takeOver(rapid.Bool().Draw(rt, "previous owner stopped"))
		m.submitToQuota(rapid.IntRange(3, 5).Draw(rt, "tasks"), false)
		m.act()
		m.storeDown = false
		m.waiting = nil
		m.finishAll()
	})
}

// actBesideLostAnswers has the current owner act while it gets no answers of some workers, of which it
// starts copies elsewhere.
func (m *stepsModel) actBesideLostAnswers() {
	m.endless = true
	m.act()
	m.changeConnection()
	m.act()
	m.endless = false
	for _, w := range m.workers {
		w.repliesLost = false
	}
}

// loseBusyWorkers has the current owner reach no worker that has a run.
func (m *stepsModel) loseBusyWorkers() {
	for _, w := range m.workers {
		m.unreached[w.roster.ID] = len(w.runs) > 0
	}
}

// submitToQuota stores a job of the workspace with a quota, of which the current owner is notified.
func (m *stepsModel) submitToQuota(tasks int, duplicates bool) {
	only := step(tasks)
	only.AllowDuplicates = duplicates
	r := &job.Record{ID: fmt.Sprintf("%016x", len(m.records)+1), Queue: "q", Service: "desk", MaxAttempts: 100, Stretch: 2, AcceptedAt: m.now,
		Workspace: quotaWorkspace, CatalogVersion: uint64(len(m.quotas.caps)), Steps: []job.Step{only}}
	m.records = append(m.records, r)
	m.current().cell.Add(r, true)
}
