package cellleader

import (
	"testing"
	"time"
)

// Failure: after a crash of the owner no task starts for 1.4 s.
func TestRefusalsCountSoonerThanSilence(t *testing.T) {
	for _, test := range []struct {
		refusals      int
		silent, heard time.Duration
	}{
		{0, silentLimit, heardLately},
		{refusalsEnough - 1, silentLimit, heardLately},
		{refusalsEnough, refusedLimit, refusedHeard},
		{refusalsEnough + 1, refusedLimit, refusedHeard},
	} {
		silent, heard := silence{refusals: test.refusals}.limits()
		if silent != test.silent || heard != test.heard {
			t.Errorf("%d refusals: silent %v, heard %v, want %v and %v", test.refusals, silent, heard, test.silent, test.heard)
		}
	}
}

// Failure: a living owner is overtaken.
func TestOthersArePingedWithinTheTimeThatCounts(t *testing.T) {
	if refusedHeard < pingPeriod || heardLately < pingPeriod {
		t.Errorf("%v and %v, but the others ping every %v", refusedHeard, heardLately, pingPeriod)
	}
}

// Failure: nothing starts for 1.3 s after the owner lost power.
func TestInstancesThatLoseTheOwnerTogetherDoNotWaitForOneAnother(t *testing.T) {
	if heardLately+pingPeriod > silentLimit {
		t.Errorf("silent after %v, but the others count what they heard in the last %v", silentLimit, heardLately)
	}
	if 2*followTimeout > silentLimit {
		t.Errorf("silent after %v, before a second ping of %v has failed", silentLimit, followTimeout)
	}
}

// Failure: a calm site falls over for good in a burst, with a new owner every second.
func TestEachTakeOverAfterAShortOwnershipIsHarder(t *testing.T) {
	for _, test := range []struct {
		name    string
		silence silence
		want    time.Duration
	}{
		{"an owner of long", silence{}, silentLimit},
		{"one that has just begun", silence{brief: true}, 2 * silentLimit},
		{"the second after a short ownership", silence{hurried: 1, brief: true}, 4 * silentLimit},
		{"one that lasts after two short ones", silence{hurried: 2}, 4 * silentLimit},
		{"the tenth", silence{hurried: 10, brief: true}, patienceMost},
		{"one that answers late", silence{slowest: 400 * time.Millisecond}, 1200 * time.Millisecond},
		{"one that answers in time", silence{slowest: 20 * time.Millisecond}, silentLimit},
		{"one that answers after minutes", silence{slowest: time.Minute}, patienceMost},
	} {
		silent, heard := test.silence.limits()
		if silent != test.want {
			t.Errorf("%s: missed after %v, want %v", test.name, silent, test.want)
		}
		if heard+pingPeriod > silent || heard < heardLately {
			t.Errorf("%s: missed after %v, but the others count what they heard in the last %v", test.name, silent, heard)
		}
	}
	if got, _ := (silence{refusals: refusalsEnough, hurried: 3, brief: true}).limits(); got != refusedLimit {
		t.Errorf("an owner that refuses connections is missed after %v, want %v", got, refusedLimit)
	}
}
