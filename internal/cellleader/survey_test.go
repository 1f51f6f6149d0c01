package cellleader

import (
	"testing"
	"time"
)

// Failure: all work stands still for 1.5 s although the owner is sound.
func TestInstanceThatWasCutOffDoesNotTakeOver(t *testing.T) {
	for _, test := range []struct {
		name   string
		survey survey
		good   time.Duration
		want   bool
	}{
		{"just back, nobody answers", survey{asked: 34}, 80 * time.Millisecond, false},
		{"just back, those that were cut off with it answer", survey{asked: 34, reached: 10}, 80 * time.Millisecond, false},
		{"without the store, nobody answers", survey{asked: 34}, 0, false},
		{"nobody else is there", survey{}, storeTrusted, true},
		{"most do not hear the owner either", survey{asked: 34, reached: 20}, 0, true},
		{"most are silent, but the store has been there all the while", survey{asked: 34, reached: 10}, storeTrusted, true},
		{"another one hears the owner", survey{asked: 34, reached: 1, heard: true}, time.Hour, false},
	} {
		if got := test.survey.allows(test.good); got != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
	}
}
