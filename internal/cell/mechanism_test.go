package cell

import (
	"strings"
	"testing"
	"time"
)

func TestMechanismsAreReadByName(t *testing.T) {
	for _, test := range []struct {
		text, want string
		ok         bool
	}{
		{"", "", true},
		{"copies", "copies", true},
		{" moves, copies ,", "copies,moves", true},
		{"copies,speed", "", false},
	} {
		w := MechanismSet{}
		err := w.Set(test.text)
		if (err == nil) != test.ok || w.String() != test.want {
			t.Errorf("%q: %q, error %v", test.text, w, err)
		}
		if err != nil && !strings.Contains(err.Error(), "speed") {
			t.Errorf("%q: the error does not name the unknown mechanism: %v", test.text, err)
		}
	}
}

// Guards against a switch that has no effect, which would make the mechanism look useless.
func TestMechanismsCanBeSwitchedOff(t *testing.T) {
	for _, test := range []struct {
		off   Mechanism
		count func(Stats) uint64
	}{
		{Preemption, func(s Stats) uint64 { return s.Preemptions }},
		{Reservations, func(s Stats) uint64 { return s.Reservations }},
	} {
		for _, without := range []MechanismSet{{}, {test.off: {}}} {
			l := newLoad(t, 12)
			l.cell.settings.Disabled = without
			for range 10 {
				l.submit("letters", 2, letters(10))
			}
			l.run(500*time.Millisecond, nil)
			l.submit("transcode", 1, transcode())
			for range 10 {
				l.submit("lookup", 0, lookup(12))
			}
			l.run(2*time.Second, nil)
			if got := test.count(l.cell.Stats(l.now)); (got == 0) != (len(without) == 1) {
				t.Errorf("without %q: %d times", without, got)
			}
		}
	}
}
