package cellleader

import "testing"

// Symptom: a task is started again after its success was acknowledged, or runs twice.
// Sequence: an owner is silent and overtaken, but lives; its successor's process ends
// at once and is replaced; the new process takes the cell back.
// Cause: it knew that its own old process had ended, and took that for all owners
// before it.
func TestOwnerBeforeTheLastOneMayStillAct(t *testing.T) {
	doubtful := claim{Term: 2, Doubtful: true, version: 5}
	sure := claim{Term: 2, version: 5}
	for _, test := range []struct {
		name  string
		why   takeOver
		claim claim
		want  bool
	}{
		{"silent owner", takeOver{}, sure, false},
		{"process replaced", takeOver{earlierStopped: true}, sure, true},
		{"process replaced, after a take-over from a silent one", takeOver{earlierStopped: true}, doubtful, false},
		{"handed over, which waits until the silent one cannot act", takeOver{earlierStopped: true, handedOver: true}, doubtful, true},
	} {
		if got := test.why.allStopped(test.claim); got != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
	}
}
