package cell

import (
	"strings"

	"pgregory.net/rapid"

	"gentianstand/internal/catalog"
	"gentianstand/internal/resource"
)

// quotaWorkspace is the workspace that has a quota.
const quotaWorkspace = "north"

// modelQuotas holds the configurations of the model.
type modelQuotas struct {
	// caps holds the quota of the workspace, in tasks, by configuration version less one.
	caps []int
	// orderPending is set while delayed orders may still arrive; lateFrom is the oldest
	// configuration version under which one of them was issued.
	orderPending bool
	lateFrom     int
}

// noteLateOrder records that an order issued under the versions in use is delayed.
func (m *model) noteLateOrder() {
	if from := m.oldestConfig(); !m.quotas.orderPending || from < m.quotas.lateFrom {
		m.quotas.orderPending, m.quotas.lateFrom = true, from
	}
}

// changeQuota puts a new configuration into force.
func (m *model) changeQuota() {
	m.quotas.caps = append(m.quotas.caps, rapid.IntRange(1, 5).Draw(m.rt, "cap"))
}

// configure gives an owner the newest configuration, or leaves it at the one it has.
func (m *model) configure(o *modelOwner) {
	if !m.faultsEnded && rapid.IntRange(0, 3).Draw(m.rt, "old configuration") == 0 {
		return
	}
	o.config = len(m.quotas.caps)
	limit := resource.Amount{MilliCPU: int64(m.quotas.caps[o.config-1]) * 1000}
	o.cell.Configure(catalog.New(catalog.Content{Version: uint64(o.config), Workspaces: []catalog.Workspace{{Name: quotaWorkspace, Cap: limit}}}))
}

// oldestConfig returns the oldest version under which an owner may act.
func (m *model) oldestConfig() int {
	oldest := len(m.quotas.caps)
	for i, o := range m.owners {
		if o.config > 0 && (i == len(m.owners)-1 || !o.stopped) {
			oldest = min(oldest, o.config)
		}
	}
	return oldest
}

// checkQuota fails the test if a run that has just started brings its workspace over the highest
// quota that may be in force. Each run of a task that may run twice counts.
func (m *model) checkQuota(task string) {
	if m.workspaceOf(task) != quotaWorkspace {
		return
	}
	from := m.oldestConfig()
	if m.quotas.orderPending {
		from = min(from, m.quotas.lateFrom)
	}
	most := 0
	for _, limit := range m.quotas.caps[max(from, 1)-1:] {
		most = max(most, limit)
	}
	running := 0
	for _, w := range m.workers {
		for open := range w.runs {
			if m.workspaceOf(open) == quotaWorkspace {
				running++
			}
		}
	}
	if running > most {
		m.rt.Fatalf("%s: its workspace has %d runs, with a quota of %d", task, running, most)
	}
}

func (m *model) workspaceOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	for _, r := range m.records {
		if r.ID == id {
			return r.Workspace
		}
	}
	return ""
}
