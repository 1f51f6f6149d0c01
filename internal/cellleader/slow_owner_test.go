package cellleader

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gentianstand/internal/cellpeer/cellpb"
)

// Guards against the replacement of a new owner that answers late: in a burst, all work stopped for
// seconds.
func TestSlowOwnerIsNotReplaced(t *testing.T) {
	for _, late := range []time.Duration{ownerPingTimeout, 600 * time.Millisecond} {
		for part := range 4 {
			t.Run(fmt.Sprintf("%v late, part %d", late, part), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					simulateFrom(t, 3, 2*time.Second, func(t *testing.T, g *simulatedGroup) {
						first := g.owner()
						term := first.leader.ownTerm().number
						time.Sleep(time.Duration(part) * pingInterval / 4)
						g.setFault(func(_, to *simulatedMember, _ *cellpb.PingRequest) simulatedFault {
							if to == first {
								return simulatedFault{late: late}
							}
							return simulatedFault{}
						})
						time.Sleep(time.Minute)
						for _, m := range g.members {
							if got := m.leader.current().Term; got > term {
								t.Errorf("the slow owner of term %d was replaced in term %d", term, got)
							}
						}
					})
				})
			})
		}
	}
}
