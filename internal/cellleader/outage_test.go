package cellleader

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gentianstand/internal/cellpeer/cellpb"
)

// Guards against an owner that asks all instances although it reads its claim in time.
func TestOwnerThatReadsItsClaimAsksNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulate(t, 5, func(t *testing.T, g *simulatedGroup) {
			first := g.owner()
			asked := 0
			g.setFault(func(from, _ *simulatedMember, _ *cellpb.PingRequest) simulatedFault {
				if from == first {
					asked++
				}
				return simulatedFault{}
			})
			time.Sleep(time.Minute)
			g.setFault(nil)
			if asked > 0 {
				t.Errorf("asked %d times in a minute", asked)
			}
		})
	})
}

// Guards against an owner that gives no orders for a moment in an outage of the store for all.
func TestOwnerIsConfirmedThroughoutAnOutageForAll(t *testing.T) {
	for name, test := range map[string]struct {
		linked bool
		late   time.Duration
	}{
		"at once": {},
		"late":    {late: 200 * time.Millisecond},
		"linked":  {linked: true},
	} {
		for part := range 4 {
			t.Run(fmt.Sprint(name, part), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					simulate(t, 9, func(t *testing.T, g *simulatedGroup) {
						first := g.owner()
						g.linked.Store(test.linked)
						g.setFault(func(_, _ *simulatedMember, _ *cellpb.PingRequest) simulatedFault {
							return simulatedFault{late: test.late}
						})
						time.Sleep(time.Duration(part) * verifyInterval / 4)
						for _, m := range g.members {
							m.access.lose(true)
						}
						for began := time.Now(); time.Since(began) < 20*time.Second; time.Sleep(supersededCheckPeriod) {
							if !first.mayAct() {
								t.Fatalf("the owner is not confirmed %v after the store was lost", time.Since(began))
							}
						}
					})
				})
			})
		}
	}
}
