package cellleader

import "testing"

// Guards against an owner that asks all instances although the store answers, and against one that asks too
// late for their answers to confirm it without a gap.
func TestOwnerAsksAfterALateReadAndBeforeItsConfirmationEnds(t *testing.T) {
	const answerTime = ownerPingTimeout
	if latest := verifyInterval + pingInterval + answerTime; latest > askAfter {
		t.Errorf("a read that is answered after %v ends %v after the last one began, and others are asked after %v", answerTime, latest, askAfter)
	}
	if answered := askAfter + pingTimeout; answered > confirmationTTL {
		t.Errorf("answers come %v after the last read began, which counts for %v", answered, confirmationTTL)
	}
}
