package cellleader

import (
	"fmt"
	"testing"
	"time"
)

// Symptom: a task runs twice, on a worker that only an overtaken owner reaches.
// Sequence: the owner and one other instance are cut off together from the store and
// from all others; the other one goes on asking the owner, as it knows no later one.
// Cause: one instance without the store was enough to confirm an ownership.
func TestOwnershipWithoutTheStoreNeedsMostInstances(t *testing.T) {
	for _, test := range []struct {
		others, heard int
		want          bool
	}{
		{8, 1, false}, {8, 3, false}, {8, 4, true}, {8, 8, true},
		{1, 0, false}, {1, 1, true}, {2, 1, true}, {0, 0, false},
	} {
		others := func() int { return test.others }
		began := time.Now()
		c := newConfirmations(began)
		now := began.Add(confirmedFor)
		for i := range test.heard {
			c.heardFrom(fmt.Sprint(i), now.Add(-time.Millisecond))
		}
		if got := c.hold(others, now); got != test.want {
			t.Errorf("%d others of which %d ask: holds %v", test.others, test.heard, got)
		}
		if c.hold(others, now.Add(confirmedFor)) {
			t.Errorf("%d others: holds long after the last question", test.others)
		}
	}
}

func TestClaimInTheStoreConfirmsByItself(t *testing.T) {
	began := time.Now()
	c := newConfirmations(began)
	many := func() int { return 8 }
	c.claimHeld(began.Add(time.Second))
	c.claimHeld(began)
	if !c.hold(many, began.Add(time.Second+confirmedFor-1)) || c.hold(many, began.Add(time.Second+confirmedFor)) {
		t.Error("the claim counts for another time than since it was asked for")
	}
}
