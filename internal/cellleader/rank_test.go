package cellleader

import (
	"fmt"
	"testing"
	"time"

	"gentianstand/internal/cellpeer"
)

// candidates returns the given numbers of strong and weak instances.
func candidates(strong, weak int) []cellpeer.Instance {
	var all []cellpeer.Instance
	for i := range strong {
		all = append(all, cellpeer.Instance{Name: fmt.Sprintf("strong-%d", i), Cores: 0.8})
	}
	for i := range weak {
		all = append(all, cellpeer.Instance{Name: fmt.Sprintf("weak-%d", i), Cores: 0.192})
	}
	return all
}

// Weak instances must leave strong ones time to restart: after most instances had lost power for
// 2.5 s, no task started for 5 s.
func TestWeakInstancesLeaveTimeForARestartOfTheStrongOnes(t *testing.T) {
	all := candidates(6, 29)
	slowestStrong, quickestWeak := time.Duration(0), time.Hour
	for _, i := range all {
		delay := rankAmong(i, append([]cellpeer.Instance(nil), all...), 7).takeOverDelay()
		if i.Cores == 0.8 {
			slowestStrong = max(slowestStrong, delay)
			continue
		}
		quickestWeak = min(quickestWeak, delay)
	}
	if quickestWeak < slowestStrong+weakDelay {
		t.Errorf("a weak instance takes over %v after the last strong one", quickestWeak-slowestStrong)
	}
}

// Guards against a site of equal instances, or of weak ones only, that has no owner for seconds.
func TestEqualInstancesDoNotWaitForStrongerOnes(t *testing.T) {
	for _, all := range [][]cellpeer.Instance{candidates(9, 0), candidates(0, 9)} {
		quickest := time.Hour
		for _, i := range all {
			quickest = min(quickest, rankAmong(i, append([]cellpeer.Instance(nil), all...), 7).takeOverDelay())
		}
		if quickest != 0 {
			t.Errorf("the first of %d equal instances waits %v", len(all), quickest)
		}
	}
}

// If all of 44 instances ping the owner of a large site often, it spends its CPU on answering.
// Only those that would succeed it first may do so.
func TestFewInstancesPingTheOwnerOften(t *testing.T) {
	all := candidates(9, 35)
	frequent := 0
	for _, i := range all {
		p := rankAmong(i, append([]cellpeer.Instance(nil), all...), 7)
		if p.pingsOften() {
			frequent++
		}
		if p.pingsOften() && p.weaker {
			t.Errorf("%s pings often although it is weak", i.Name)
		}
	}
	if frequent != frequentPingers {
		t.Errorf("%d of %d instances ping often", frequent, len(all))
	}
}
