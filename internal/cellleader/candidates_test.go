package cellleader

import (
	"fmt"
	"testing"
	"time"

	"gentianstand/internal/cellpeer"
)

// candidates returns some strong instances and many weak ones.
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

// Failure: nothing starts for five seconds after most instances lost power for 2.5 s.
func TestWeakInstancesLeaveTimeForARestartOfTheStrongOnes(t *testing.T) {
	all := candidates(6, 29)
	slowestStrong, quickestWeak := time.Duration(0), time.Hour
	for _, i := range all {
		delay := placeAmong(i, append([]cellpeer.Instance(nil), all...), 7).delay()
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

// Failure: a site of equal instances, or of weak ones alone, is without an owner for
// seconds.
func TestEqualInstancesDoNotWaitForStrongerOnes(t *testing.T) {
	for _, all := range [][]cellpeer.Instance{candidates(9, 0), candidates(0, 9)} {
		quickest := time.Hour
		for _, i := range all {
			quickest = min(quickest, placeAmong(i, append([]cellpeer.Instance(nil), all...), 7).delay())
		}
		if quickest != 0 {
			t.Errorf("the first of %d equal instances waits %v", len(all), quickest)
		}
	}
}

// Failure: the owner of a large site spends its processor on pings. Load: 44 instances
// follow one owner. Limit: as few as succeed it first ask often.
func TestFewInstancesAskOftenAfterTheOwner(t *testing.T) {
	all := candidates(9, 35)
	eager := 0
	for _, i := range all {
		p := placeAmong(i, append([]cellpeer.Instance(nil), all...), 7)
		if p.eager() {
			eager++
		}
		if p.eager() && p.weak {
			t.Errorf("%s is eager, and weak", i.Name)
		}
	}
	if eager != eagerPlaces {
		t.Errorf("%d of %d are eager", eager, len(all))
	}
}
