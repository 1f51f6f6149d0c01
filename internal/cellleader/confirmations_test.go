package cellleader

import (
	"fmt"
	"testing"
	"time"
)

// Failure: a task runs twice, on a worker that only an overtaken owner reaches.
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
		if got := c.hold(others, nobody, now); got != test.want {
			t.Errorf("%d others of which %d ask: holds %v", test.others, test.heard, got)
		}
		if c.hold(others, nobody, now.Add(confirmedFor)) {
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
	if !c.hold(many, nobody, began.Add(time.Second+confirmedFor-1)) || c.hold(many, nobody, began.Add(time.Second+confirmedFor)) {
		t.Error("the claim counts for another time than since it was asked for")
	}
}

func nobody(time.Time) []string { return nil }

// Failure: in an outage of the store the owner stops giving orders, although all others
// serve it as relays.
func TestLinksConfirmAnOwnershipLikePings(t *testing.T) {
	others := func() int { return 8 }
	began := time.Now()
	now := began.Add(confirmedFor)
	for _, test := range []struct {
		linked, pinged int
		want           bool
	}{{4, 0, true}, {3, 0, false}, {2, 2, true}, {2, 1, false}} {
		c := newConfirmations(began)
		for i := range test.pinged {
			c.heardFrom(fmt.Sprint("pinged-", i), now)
		}
		linked := func(since time.Time) []string {
			if !since.Equal(now.Add(-confirmedFor)) {
				t.Errorf("asked for links since %v ago, want %v", now.Sub(since), confirmedFor)
			}
			return []string{"linked-0", "linked-1", "linked-2", "linked-3"}[:test.linked]
		}
		if got := c.hold(others, linked, now); got != test.want {
			t.Errorf("%d over links, %d by pings: holds %v", test.linked, test.pinged, got)
		}
		if c.hold(others, nobody, now.Add(time.Millisecond)) {
			t.Errorf("%d over links, %d by pings: holds when the links are silent", test.linked, test.pinged)
		}
	}
}
