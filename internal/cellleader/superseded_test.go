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

// testLostAnnouncement has a member take over whose announcement arrives nowhere for some time, and
// never at the first owner, which does not reach it either. The first owner lacks the store; the
// others lack it if othersLost is set, and are its relays if linked is set.
func testLostAnnouncement(t *testing.T, othersLost, linked bool, check func(t *testing.T, first *simulatedMember, next *term)) {
	synctest.Test(t, func(t *testing.T) {
		simulate(t, 9, func(t *testing.T, g *simulatedGroup) {
			first := g.owner()
			g.linked.Store(linked)
			successor := g.nextInOrder(first)
			for _, m := range g.others(successor) {
				m.access.lose(othersLost || m == first)
			}
			var announced time.Time
			g.setFault(func(from, to *simulatedMember, r *cellpb.PingRequest) simulatedFault {
				if r.Claim != nil && announced.IsZero() {
					announced = time.Now()
				}
				early := time.Since(announced) < pingTimeout
				return simulatedFault{lost: (from == first && to == successor) || (r.Claim != nil && (early || to == first))}
			})
			check(t, first, awaitSuccessor(t, g, first))
		})
	})
}

// Guards against a superseded owner that most instances confirm for any length of time because they
// have not received the announcement of its successor.
func TestLostAnnouncementIsRepeated(t *testing.T) {
	for name, test := range map[string]struct{ othersLost, linked bool }{
		"others reach the store":            {},
		"others lack the store":             {othersLost: true},
		"others reach the store, and relay": {linked: true},
		"others lack the store, and relay":  {othersLost: true, linked: true},
	} {
		t.Run(name, func(t *testing.T) {
			testLostAnnouncement(t, test.othersLost, test.linked, func(t *testing.T, first *simulatedMember, next *term) {
				mustNotActAfter(t, first, next.began.Add(2*confirmationTTL))
			})
		})
	}
}
