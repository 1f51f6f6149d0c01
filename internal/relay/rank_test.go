package relay

import (
	"fmt"
	"testing"

	"gentianstand/internal/cellpeer"
)

func instances(zones ...string) []cellpeer.Instance {
	var all []cellpeer.Instance
	for i, zone := range zones {
		all = append(all, cellpeer.Instance{Name: fmt.Sprintf("edge-%s-%d", zone, i), Zone: zone, Incarnation: "1"})
	}
	return all
}

func TestWorkersAreReachedWithinTheirZone(t *testing.T) {
	all := instances("a", "b", "a", "b", "a")
	for _, i := range Rank("w-1", "a", all) {
		if i.Zone != "a" {
			t.Errorf("%s is in zone %s", i.Name, i.Zone)
		}
	}
	if got := len(Rank("w-1", "a", all)); got != 3 {
		t.Errorf("%d relays, want all 3 of the zone", got)
	}
	if got := len(Rank("w-1", "c", all)); got != 5 {
		t.Errorf("%d relays for a zone without instances, want all 5", got)
	}
}

// Load: 500 workers on 16 instances, half of which are relays at a time. Limit: no relay
// carries a quarter of the workers.
func TestWorkersAreSpreadOverInstances(t *testing.T) {
	all := instances("a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a")
	share := map[string]int{}
	for i := range 500 {
		share[Rank(fmt.Sprintf("%016x", i), "a", all)[0].Name]++
	}
	for name, n := range share {
		if n > 500/4 {
			t.Errorf("%s carries %d workers", name, n)
		}
	}
	if len(share) < 4 || len(share) > 8 {
		t.Errorf("%d instances carry workers", len(share))
	}
}

func TestOneMoreGroupMovesFewWorkers(t *testing.T) {
	for groups := 3; groups < 40; groups++ {
		moved, size := 0, map[int]int{}
		for i := range 2000 {
			worker := fmt.Sprintf("%016x", i)
			before, after := groupOf(worker, groups), groupOf(worker, groups+1)
			if before >= groups || before < 0 {
				t.Fatalf("group %d of %d", before, groups)
			}
			size[before]++
			if before != after {
				moved++
			}
		}
		if moved > 3*2000/(groups+1) {
			t.Errorf("from %d groups to one more moves %d of 2000 workers", groups, moved)
		}
		if len(size) != groups {
			t.Errorf("%d groups of %d have workers", len(size), groups)
		}
	}
}

// Guards against the loss of one instance moving all workers to new relays, which then have
// to open new connections.
func TestOnlyWorkersOfALostInstanceMove(t *testing.T) {
	// 11 and 10 instances have the same number of relays.
	all := instances("a", "a", "a", "a", "a", "a", "a", "a", "a", "a", "a")
	for i := range 200 {
		worker := fmt.Sprintf("%016x", i)
		before := Rank(worker, "a", all)
		after := Rank(worker, "a", all[1:])
		if before[0].Name == all[0].Name {
			if after[0].Name != before[1].Name {
				t.Errorf("worker %s moved to %s, not to its next relay %s", worker, after[0].Name, before[1].Name)
			}
			continue
		}
		if after[0].Name != before[0].Name {
			t.Errorf("worker %s moved from %s to %s", worker, before[0].Name, after[0].Name)
		}
	}
}
