package cell

import (
	"slices"
	"time"

	"pgregory.net/rapid"
)

// takeOversInARow has two owners follow the present one within a lease, and a worker is lost in
// between. The store refuses what the first and the last of the three commit, except for what an owner
// stores when it takes over.
func (m *stepsModel) takeOversInARow() {
	m.storeDown = true
	m.submit()
	m.act()
	m.takeOver(rapid.Bool().Draw(m.rt, "previous owner stopped"))
	if rapid.Bool().Draw(m.rt, "reaches all workers") {
		clear(m.unreached)
	}
	m.loseWorker()
	m.storeDown = rapid.Bool().Draw(m.rt, "store refuses the second owner")
	m.act()
	m.storeDown = true
	m.takeOver(rapid.Bool().Draw(m.rt, "previous owner stopped"))
	m.act()
	m.storeDown = false
}

// loseWorker restarts a worker, one with unacknowledged ends if there is any.
func (m *stepsModel) loseWorker() {
	alive := slices.DeleteFunc(slices.Clone(m.workers), func(w *modelWorker) bool { return !w.alive })
	if withEnds := slices.DeleteFunc(slices.Clone(alive), func(w *modelWorker) bool { return len(w.ends) == 0 }); len(withEnds) > 0 {
		alive = withEnds
	}
	if len(alive) > 0 && rapid.IntRange(0, 3).Draw(m.rt, "loses a worker") > 0 {
		m.restart(slices.Index(m.workers, alive[rapid.IntRange(0, len(alive)-1).Draw(m.rt, "lost worker")]))
	}
}

// act has the current owner act for a short time, in which runs may end.
func (m *stepsModel) act() {
	for range rapid.IntRange(1, 5).Draw(m.rt, "rounds") {
		m.advance(time.Duration(rapid.IntRange(5, 200).Draw(m.rt, "advance")) * time.Millisecond)
		if !m.endless && rapid.IntRange(0, 3).Draw(m.rt, "ends") > 0 {
			m.endSomeRun()
		}
		m.round(m.current())
		m.answerPolls()
	}
}
