package cellleader

import (
	"testing"
	"time"
)

// An owner before the last one may still act: a task was started again after its success had been
// acknowledged, or ran twice.
func TestOwnerBeforeTheLastOneMayStillAct(t *testing.T) {
	afterUnresponsive := claim{Holder: "edge-2", Term: 2, PredecessorMayAct: true, version: 5}
	sure := claim{Holder: "edge-2", Term: 2, version: 5}
	for _, test := range []struct {
		name            string
		why             takeOver
		claim           claim
		known           time.Duration
		stopped         bool
		onlyPredecessor string
	}{
		{"unresponsive owner", takeOver{}, sure, 0, false, "edge-2"},
		{"unresponsive owner after another one", takeOver{}, afterUnresponsive, 0, false, ""},
		{"unresponsive owner, long after the one before it", takeOver{}, afterUnresponsive, predecessorLimit, false, "edge-2"},
		{"process replaced", takeOver{previousStopped: true}, sure, 0, true, ""},
		{"process replaced, just after a take-over from an unresponsive one", takeOver{previousStopped: true}, afterUnresponsive, predecessorLimit - 1, false, ""},
		{"process replaced, long after it", takeOver{previousStopped: true}, afterUnresponsive, predecessorLimit, true, ""},
		{"handed over, which waits until the unresponsive one cannot act", takeOver{previousStopped: true, handedOver: true}, afterUnresponsive, 0, true, ""},
	} {
		got := test.why.withClaim(test.claim, test.known)
		if got.previousStopped != test.stopped || got.onlyPredecessor != test.onlyPredecessor {
			t.Errorf("%s: stopped %v, only predecessor %q", test.name, got.previousStopped, got.onlyPredecessor)
		}
	}
}

func TestClaimCountsShortOwnerships(t *testing.T) {
	second := claim{ShortOwnerships: 1, version: 5}
	for _, test := range []struct {
		name  string
		why   takeOver
		known time.Duration
		want  uint32
	}{
		{"unresponsive after a short ownership", takeOver{unresponsive: true}, shortOwnershipLimit - 1, 2},
		{"unresponsive after a long one", takeOver{unresponsive: true}, shortOwnershipLimit, 0},
		{"its process was replaced", takeOver{previousStopped: true}, 0, 1},
		{"handed over", takeOver{previousStopped: true, handedOver: true}, 0, 0},
	} {
		if got := test.why.shortOwnerships(second, test.known); got != test.want {
			t.Errorf("%s: %d, want %d", test.name, got, test.want)
		}
	}
}
