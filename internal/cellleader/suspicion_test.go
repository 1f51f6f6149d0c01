package cellleader

import (
	"testing"
	"time"
)

// Refused connections must count sooner than timeouts: after a crash of the owner no task started
// for 1.4 s.
func TestRefusalsCountSoonerThanTimeouts(t *testing.T) {
	for _, test := range []struct {
		refusals                 int
		ownerTimeout, seenWithin time.Duration
	}{
		{0, baseOwnerTimeout, ownerSeenWithin},
		{minRefusals - 1, baseOwnerTimeout, ownerSeenWithin},
		{minRefusals, refusedTimeout, refusedSeenWithin},
		{minRefusals + 1, refusedTimeout, refusedSeenWithin},
	} {
		ownerTimeout, seenWithin := suspicion{refusals: test.refusals}.limits()
		if ownerTimeout != test.ownerTimeout || seenWithin != test.seenWithin {
			t.Errorf("%d refusals: owner timeout %v, seen within %v, want %v and %v", test.refusals, ownerTimeout, seenWithin, test.ownerTimeout, test.seenWithin)
		}
	}
}

// Guards against the replacement of a live owner that the other instances have pinged too long
// ago.
func TestOthersPingWithinTheTimeThatCounts(t *testing.T) {
	if refusedSeenWithin < pingInterval || ownerSeenWithin < pingInterval {
		t.Errorf("%v and %v, but the others ping every %v", refusedSeenWithin, ownerSeenWithin, pingInterval)
	}
}

// Instances that lose the owner at the same time must not wait for each other: no task started
// for 1.3 s after the owner lost power.
func TestInstancesThatLoseTheOwnerTogetherDoNotWaitForOneAnother(t *testing.T) {
	if ownerSeenWithin+pingInterval > baseOwnerTimeout {
		t.Errorf("owner timeout %v, but the others count what they saw in the last %v", baseOwnerTimeout, ownerSeenWithin)
	}
	if 2*ownerPingTimeout > baseOwnerTimeout {
		t.Errorf("owner timeout %v, before a second ping of %v has failed", baseOwnerTimeout, ownerPingTimeout)
	}
}

// Guards against a site that gets a new owner every second in a burst and never recovers.
func TestEachTakeOverAfterAShortOwnershipTakesLonger(t *testing.T) {
	for _, test := range []struct {
		name      string
		suspicion suspicion
		want      time.Duration
	}{
		{"a long ownership", suspicion{}, baseOwnerTimeout},
		{"a new owner", suspicion{newOwner: true}, 2 * baseOwnerTimeout},
		{"the second after a short ownership", suspicion{shortOwnerships: 1, newOwner: true}, 4 * baseOwnerTimeout},
		{"a long ownership after two short ones", suspicion{shortOwnerships: 2}, 4 * baseOwnerTimeout},
		{"the tenth", suspicion{shortOwnerships: 10, newOwner: true}, maxOwnerTimeout},
		{"one that answers late", suspicion{slowestResponse: 400 * time.Millisecond}, 1200 * time.Millisecond},
		{"one that answers in time", suspicion{slowestResponse: 20 * time.Millisecond}, baseOwnerTimeout},
		{"one that answers after minutes", suspicion{slowestResponse: time.Minute}, maxOwnerTimeout},
	} {
		ownerTimeout, seenWithin := test.suspicion.limits()
		if ownerTimeout != test.want {
			t.Errorf("%s: owner timeout %v, want %v", test.name, ownerTimeout, test.want)
		}
		if seenWithin+pingInterval > ownerTimeout || seenWithin < ownerSeenWithin {
			t.Errorf("%s: owner timeout %v, but the others count what they saw in the last %v", test.name, ownerTimeout, seenWithin)
		}
	}
	if got, _ := (suspicion{refusals: minRefusals, shortOwnerships: 3, newOwner: true}).limits(); got != refusedTimeout {
		t.Errorf("timeout of an owner that refuses connections is %v, want %v", got, refusedTimeout)
	}
}
