package cellleader

import (
	"testing"
	"time"
)

// Failure: a task is started again after its success was acknowledged, or runs twice.
func TestOwnerBeforeTheLastOneMayStillAct(t *testing.T) {
	doubtful := claim{Holder: "edge-2", Term: 2, Doubtful: true, version: 5}
	sure := claim{Holder: "edge-2", Term: 2, version: 5}
	for _, test := range []struct {
		name    string
		why     takeOver
		claim   claim
		known   time.Duration
		stopped bool
		beside  string
	}{
		{"silent owner", takeOver{}, sure, 0, false, "edge-2"},
		{"silent owner beside another one", takeOver{}, doubtful, 0, false, ""},
		{"silent owner, long after the one before it", takeOver{}, doubtful, confirmedFor, false, "edge-2"},
		{"process replaced", takeOver{earlierStopped: true}, sure, 0, true, ""},
		{"process replaced, just after a take-over from a silent one", takeOver{earlierStopped: true}, doubtful, confirmedFor - 1, false, ""},
		{"process replaced, long after it", takeOver{earlierStopped: true}, doubtful, confirmedFor, true, ""},
		{"handed over, which waits until the silent one cannot act", takeOver{earlierStopped: true, handedOver: true}, doubtful, 0, true, ""},
	} {
		got := test.why.after(test.claim, test.known)
		if got.earlierStopped != test.stopped || got.beside != test.beside {
			t.Errorf("%s: stopped %v, beside %q", test.name, got.earlierStopped, got.beside)
		}
	}
}

func TestClaimCountsSilentOwnersOfAShortTime(t *testing.T) {
	second := claim{Hurried: 1, version: 5}
	for _, test := range []struct {
		name  string
		why   takeOver
		known time.Duration
		want  uint32
	}{
		{"silent after a short ownership", takeOver{silent: true}, briefOwnership - 1, 2},
		{"silent after a long one", takeOver{silent: true}, briefOwnership, 0},
		{"its process was replaced", takeOver{earlierStopped: true}, 0, 1},
		{"handed over", takeOver{earlierStopped: true, handedOver: true}, 0, 0},
	} {
		if got := test.why.hurried(second, test.known); got != test.want {
			t.Errorf("%s: %d, want %d", test.name, got, test.want)
		}
	}
}
