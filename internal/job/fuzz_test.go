package job

import (
	"reflect"
	"testing"
	"time"
)

// FuzzRecord checks that a record that can be decoded is the same after another round trip.
func FuzzRecord(f *testing.F) {
	sound, err := EncodeRecord(&Record{ID: "5c0e7a21d94b36f8", Queue: "q", AcceptedAt: time.UnixMilli(5).UTC(),
		Steps: []Step{{Count: 2, Estimate: time.Second}, {Count: 1, DependsOn: []int{0}, Gang: true}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sound)
	f.Add([]byte{})
	f.Add([]byte{codecVersion + 1, 0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := DecodeRecord(data)
		if err != nil {
			return
		}
		again, err := EncodeRecord(first)
		if err != nil {
			return
		}
		second, err := DecodeRecord(again)
		if err != nil || !second.AcceptedAt.Equal(first.AcceptedAt) || !reflect.DeepEqual(second.Steps, first.Steps) {
			t.Errorf("%x: %+v becomes %+v after a round trip, error %v", data, first, second, err)
		}
	})
}

// FuzzProgress checks that a progress that can be decoded is the same after another round
// trip.
func FuzzProgress(f *testing.F) {
	sound, err := EncodeProgress(&Progress{Final: Completed, EndedAtMillis: 7, Stages: []StageProgress{{Step: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(sound)
	f.Add([]byte{codecVersion})
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := DecodeProgress(data)
		if err != nil {
			return
		}
		again, err := EncodeProgress(first)
		if err != nil {
			t.Fatalf("%x: %v", data, err)
		}
		if second, err := DecodeProgress(again); err != nil || second.Final != first.Final || len(second.Stages) != len(first.Stages) {
			t.Errorf("%x: %+v becomes %+v after a round trip, error %v", data, first, second, err)
		}
	})
}
