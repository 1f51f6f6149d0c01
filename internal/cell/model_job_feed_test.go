package cell

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against a workspace that exceeds its quota once a new owner has read which jobs its
// predecessor can have started.
func TestModelOwnerReadsTheJobs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt)
		for range rapid.IntRange(20, 120).Draw(rt, "steps") {
			if rapid.IntRange(0, 5).Draw(rt, "reads the jobs") == 0 {
				m.readJobs()
				continue
			}
			m.step()
		}
		m.finishAll()
	})
}

// readJobs has the owner that holds the claim read all stored jobs.
func (m *model) readJobs() {
	began := m.now
	for _, r := range m.records {
		m.current().cell.Add(r, false)
	}
	m.current().cell.JobsRead(began)
}
