package cellleader

import (
	"testing"
	"time"
)

// An instance that was cut off must not take over: all work stopped for 1.5 s although the owner
// was healthy.
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
		{"no other instance", survey{}, minStoreUptime, true},
		{"most do not see the owner either", survey{asked: 34, reached: 20}, 0, true},
		{"most do not answer, but the store was available throughout", survey{asked: 34, reached: 10}, minStoreUptime, true},
		{"another instance sees the owner", survey{asked: 34, reached: 1, ownerSeen: true}, time.Hour, false},
	} {
		if got := test.survey.allowsTakeOver(test.good); got != test.want {
			t.Errorf("%s: %v", test.name, got)
		}
	}
}
