package cellleader

import (
	"fmt"
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

// testLostAnnouncement has a member take over whose announcement arrives nowhere for the given time, and
// never at the first owner, which does not reach it either. The first owner lacks the store; the
// others lack it if othersLost is set, and are its relays if linked is set.
func testLostAnnouncement(t *testing.T, lostFor time.Duration, othersLost, linked bool, check func(t *testing.T, first, successor *simulatedMember, next *term)) {
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
				early := time.Since(announced) < lostFor
				return simulatedFault{lost: (from == first && to == successor) || (r.Claim != nil && (early || to == first))}
			})
			check(t, first, successor, awaitSuccessor(t, g, first))
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
			testLostAnnouncement(t, pingTimeout, test.othersLost, test.linked, func(t *testing.T, first, _ *simulatedMember, next *term) {
				mustNotActAfter(t, first, next.began.Add(2*confirmationTTL))
			})
		})
	}
}

// Guards against a new owner that counts the previous one as stopped while most instances do not know
// of the takeover.
func TestSupersededOwnerStopsWhenItsSuccessorCountsItAsStopped(t *testing.T) {
	for _, lostFor := range []time.Duration{0, pingTimeout, unreachedLimit / 2, unreachedLimit * 4 / 5} {
		for _, linked := range []bool{false, true} {
			t.Run(fmt.Sprintf("lost for %v, linked %v", lostFor, linked), func(t *testing.T) {
				testLostAnnouncement(t, lostFor, true, linked, func(t *testing.T, first, _ *simulatedMember, next *term) {
					for time.Since(next.began) < 2*predecessorLimit {
						if end := next.previousActsUntil(); first.mayAct() && time.Now().After(end) {
							t.Fatalf("acts %v after the takeover, and counts as stopped after %v", time.Since(next.began), end.Sub(next.began))
						}
						time.Sleep(supersededCheckPeriod)
					}
				})
			})
		}
	}
}

// Guards against a new owner that waits for the previous one for longer, or for less long, than the
// other instances may confirm that one.
func TestPreviousOwnerLimitDependsOnWhatInstancesKnow(t *testing.T) {
	for name, test := range map[string]struct {
		lostFor, from, to time.Duration
	}{
		"known at once":      {0, confirmationTTL, confirmationTTL + 50*time.Millisecond},
		"known late":         {pingTimeout, confirmationTTL + pingTimeout, predecessorLimit},
		"not known for long": {predecessorLimit, predecessorLimit, predecessorLimit},
	} {
		t.Run(name, func(t *testing.T) {
			testLostAnnouncement(t, test.lostFor, true, false, func(t *testing.T, _, successor *simulatedMember, next *term) {
				time.Sleep(unreachedLimit)
				if limit := next.previousActsUntil().Sub(next.began); limit < test.from || limit > test.to {
					t.Errorf("%v, want %v to %v", limit, test.from, test.to)
				}
				time.Sleep(2 * predecessorLimit)
				// The recovery waits for a lease of 1 s from then.
				if rest := successor.recoveredAfter() - next.previousActsUntil().Sub(next.began); rest < time.Second || rest > 1500*time.Millisecond {
					t.Errorf("recovered %v after the previous owner had stopped", rest)
				}
			})
		})
	}
}
