package cell

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"gentianstand/internal/job"
	"gentianstand/internal/runner"
)

// maxStepsJobs bounds the number of jobs of a stepsModel.
const maxStepsJobs = 8

// stepsModel is a model with chains of steps, in which workers may delay the answers to polls and
// a new owner does not reach some workers at first.
type stepsModel struct {
	*model
	// waiting holds the polls that a worker has accepted and not answered, the oldest first.
	waiting []waitingPoll
	// unreached holds the workers that the current owner cannot reach.
	unreached map[string]bool
	// duplicates is set if some steps allow duplicates.
	duplicates bool
	// copies is set if all jobs are of the workspace with a quota and all steps allow duplicates.
	copies bool
	// endless is set while no run ends by itself.
	endless bool
	// storeDown is set while the store refuses all commits of a round.
	storeDown bool
}

// newStepsModel returns a stepsModel with one worker in each of the racks r1, r2 and r3.
func newStepsModel(rt *rapid.T) *stepsModel {
	m := &stepsModel{model: newModel(rt), unreached: map[string]bool{}, duplicates: rapid.IntRange(0, 2).Draw(rt, "duplicates") == 0}
	m.copies = m.duplicates && rapid.Bool().Draw(rt, "copies")
	for i, w := range m.workers {
		w.roster.Rack = fmt.Sprintf("r%d", i+1)
	}
	m.model.takeOver(true)
	m.submit()
	m.submit()
	return m
}

// Guards against a step that runs twice, or starts too early, because a superseded owner and its
// successor both learn of the end of the step before.
func TestModelStepsAfterTakeovers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newStepsModel(rt)
		for range rapid.IntRange(20, 120).Draw(rt, "steps") {
			m.step()
			m.answerPolls()
		}
		m.waiting = nil
		m.finishAll()
	})
}

func (m *stepsModel) step() {
	o := m.anyOwner()
	switch rapid.IntRange(0, 17).Draw(m.rt, "action") {
	case 0, 1:
		m.advance(time.Duration(rapid.IntRange(5, 400).Draw(m.rt, "advance")) * time.Millisecond)
	case 2, 3:
		m.poll(o, m.drawWorker())
	case 4, 5, 6, 7:
		m.round(o)
	case 8, 9, 10, 11:
		m.endSomeRun()
	case 12:
		m.takeOver(rapid.IntRange(0, 3).Draw(m.rt, "previous owner stopped") == 0)
	case 13:
		m.changeConnection()
	case 14:
		m.deliverLateOrder()
	case 15:
		m.rareEvent()
	case 16, 17:
		m.takeOversInARow()
	}
}

// round has an owner do what it repeats all the time: poll, plan and store.
func (m *stepsModel) round(o *modelOwner) {
	for _, w := range m.workers {
		m.poll(o, w)
	}
	m.plan(o, rapid.IntRange(0, 3).Draw(m.rt, "faults") == 0)
	if !m.storeDown {
		m.commit(o, rapid.IntRange(0, 2).Draw(m.rt, "store answers") > 0)
	}
}

// rareEvent submits a job, ends the superseded owner or injects a fault of the embedded model.
func (m *stepsModel) rareEvent() {
	switch rapid.IntRange(0, 3).Draw(m.rt, "rare event") {
	case 0, 1:
		m.submit()
	case 2:
		m.previousOwnerStops()
	case 3:
		m.rareFault()
	}
}

func (m *stepsModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for _, w := range m.workers {
		w.expireLease()
	}
}

func (m *stepsModel) drawWorker() *modelWorker {
	return m.workers[rapid.IntRange(0, len(m.workers)-1).Draw(m.rt, "worker")]
}

// takeOver begins a term of an owner that cannot reach some of the workers.
func (m *stepsModel) takeOver(previousStopped bool) {
	m.model.takeOver(previousStopped)
	for _, w := range m.workers {
		m.unreached[w.roster.ID] = rapid.Bool().Draw(m.rt, "unreached")
	}
}

// changeConnection cuts a worker off or reconnects it. A worker that the current owner cannot reach
// stays connected to the superseded one.
func (m *stepsModel) changeConnection() {
	w := m.drawWorker()
	if m.unreached[w.roster.ID] {
		delete(m.unreached, w.roster.ID)
		return
	}
	w.repliesLost = !w.repliesLost
}

// previousOwnerStops ends the superseded owner and has the current one know of it.
func (m *stepsModel) previousOwnerStops() {
	if n := len(m.owners); n > 1 && !m.owners[n-2].stopped {
		m.rt.Logf("%v previous owner has stopped", m.now.Sub(siteStart))
		m.owners[n-2].stopped = true
		m.current().cell.PreviousOwnerStopped(m.now)
	}
}

func (m *stepsModel) deliverLateOrder() {
	if len(m.lateOrders) == 0 {
		return
	}
	act := m.lateOrders[0]
	m.lateOrders = m.lateOrders[1:]
	act()
	m.quotas.orderPending = len(m.lateOrders) > 0
}

// submit stores a job whose steps form a chain. An owner gets it at once or finds it later.
func (m *stepsModel) submit() {
	if len(m.records) == maxStepsJobs {
		return
	}
	r := &job.Record{ID: fmt.Sprintf("%016x", len(m.records)+1), Queue: "q", Service: "desk", MaxAttempts: 100, Stretch: 2, AcceptedAt: m.now,
		Workspace: rapid.SampledFrom([]string{"", "", quotaWorkspace}).Draw(m.rt, "workspace"), CatalogVersion: uint64(len(m.quotas.caps))}
	if m.copies {
		r.Workspace = quotaWorkspace
	}
	for i := range rapid.IntRange(2, 3).Draw(m.rt, "chain") {
		r.Steps = append(r.Steps, m.drawStep(i))
	}
	m.records = append(m.records, r)
	if rapid.IntRange(0, 3).Draw(m.rt, "notified") > 0 {
		m.anyOwner().cell.Add(r, true)
	}
}

// drawStep returns the step of a chain at an index.
func (m *stepsModel) drawStep(index int) job.Step {
	s := step(rapid.IntRange(1, 2).Draw(m.rt, "tasks"))
	if index > 0 {
		s.DependsOn = []int{index - 1}
	}
	if rapid.Bool().Draw(m.rt, "spread") {
		s.MaxPerWorker = 1
	}
	s.DataRack = rapid.SampledFrom([]string{"", "r1", "r2", "r3"}).Draw(m.rt, "data")
	s.AllowDuplicates = m.copies || m.duplicates && rapid.IntRange(0, 2).Draw(m.rt, "allows duplicates") == 0
	return s
}

// endSomeRun ends any run of any worker.
func (m *stepsModel) endSomeRun() {
	busy := slices.DeleteFunc(slices.Clone(m.workers), func(w *modelWorker) bool { return len(w.runs) == 0 })
	if len(busy) == 0 {
		return
	}
	w := busy[rapid.IntRange(0, len(busy)-1).Draw(m.rt, "busy worker")]
	task := rapid.SampledFrom(slices.Sorted(maps.Keys(w.runs))).Draw(m.rt, "run")
	r, kind := w.runs[task], runner.Done
	switch {
	case r.stop:
		kind = runner.Stopped
	case rapid.IntRange(0, 7).Draw(m.rt, "fails") == 0:
		kind = runner.Failed
	}
	m.rt.Logf("%v run %d of %s on %s ends: %s", m.now.Sub(siteStart), r.run, task, w.roster.ID, kind)
	w.end(task, r.run, kind)
}
