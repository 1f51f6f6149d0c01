package cell

import (
	"testing"

	"pgregory.net/rapid"
)

// TestModelLateStartsByLease is TestModel with workers that judge late starts by the end of their
// lease.
func TestModelLateStartsByLease(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := newModel(rt)
		m.lateByLease = true
		steps := rapid.IntRange(20, 120).Draw(rt, "steps")
		for range steps {
			m.step()
		}
		m.finishAll()
	})
}
