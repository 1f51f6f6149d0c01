package cellleader

import (
	"testing"
	"testing/synctest"
	"time"

	"gentianstand/internal/cellpeer/cellpb"
)

// supersededCheckPeriod is how often a superseded owner is checked.
const supersededCheckPeriod = 5 * time.Millisecond

// awaitSuccessor waits until another member than the first owner has taken over.
func awaitSuccessor(t *testing.T, g *simulatedGroup, first *simulatedMember) *term {
	t.Helper()
	for range 10 * time.Second / time.Millisecond {
		for _, m := range g.others(first) {
			if owned := m.leader.ownTerm(); owned != nil {
				return owned
			}
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatal("no other member has taken over")
	return nil
}

// mustNotActAfter checks for a while that a member gives no orders from a time on.
func mustNotActAfter(t *testing.T, m *simulatedMember, end time.Time) {
	t.Helper()
	time.Sleep(time.Until(end))
	for range 4 * confirmationTTL / supersededCheckPeriod {
		if m.mayAct() {
			t.Fatalf("the first owner may act %v after its time", time.Since(end))
		}
		time.Sleep(supersededCheckPeriod)
	}
}

// Guards against a superseded owner that gives orders because of pings that were sent before its
// successor's claim and arrive late.
func TestLatePingsDoNotConfirmASupersededOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulate(t, 5, func(t *testing.T, g *simulatedGroup) {
			first := g.owner()
			first.access.lose(true)
			g.setFault(func(from, to *simulatedMember, _ *cellpb.PingRequest) simulatedFault {
				if to == first {
					return simulatedFault{late: 2 * confirmationTTL}
				}
				return simulatedFault{lost: from == first}
			})
			next := awaitSuccessor(t, g, first)
			mustNotActAfter(t, first, next.began.Add(confirmationTTL))
		})
	})
}
