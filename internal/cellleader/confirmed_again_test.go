package cellleader

import (
	"testing"
	"testing/synctest"
	"time"

	"gentianstand/internal/cellpeer/cellpb"
)

// Guards against an owner that gives no orders after an outage of the store although it reaches the
// store again, because no other instance answers.
func TestOwnerIsConfirmedByTheStoreAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		simulate(t, 2, func(t *testing.T, g *simulatedGroup) {
			first := g.owner()
			g.setFault(func(_, _ *simulatedMember, _ *cellpb.PingRequest) simulatedFault { return simulatedFault{lost: true} })
			for _, m := range g.members {
				m.access.lose(true)
			}
			time.Sleep(2 * confirmationTTL)
			if first.mayAct() {
				t.Error("the owner is confirmed without the store and without other instances")
			}
			first.access.lose(false)
			time.Sleep(2 * confirmationTTL)
			if !first.mayAct() {
				t.Error("the owner is not confirmed although it reaches the store")
			}
		})
	})
}
