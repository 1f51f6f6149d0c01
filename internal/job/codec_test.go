package job

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"gentianstand/internal/compressed"
)

func TestProgressSurvivesEncoding(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		stage := StageProgress{Occurrence: rapid.IntRange(0, 9).Draw(rt, "occurrence"), Step: rapid.IntRange(0, 9).Draw(rt, "step")}
		done := rapid.SliceOfDistinct(rapid.IntRange(0, 200), func(i int) int { return i }).Draw(rt, "done")
		for _, i := range done {
			stage.SetDone(i)
		}
		stage.Tasks = append(stage.Tasks, TaskProgress{Index: 3, FailedRuns: rapid.SliceOfN(rapid.Uint64(), 1, 4).Draw(rt, "failed"),
			LastRun: rapid.Uint64().Draw(rt, "last"), Checkpoint: rapid.String().Draw(rt, "saved")})
		want := &Progress{Final: Cancelled, EndedAtMillis: 5, Stages: []StageProgress{stage}}
		data, err := EncodeProgress(want)
		if err != nil {
			rt.Fatal(err)
		}
		got, err := DecodeProgress(data)
		if err != nil || !reflect.DeepEqual(got, want) {
			rt.Fatalf("got %+v, error %v; want %+v", got, err, want)
		}
		for i := range 201 {
			isDone := false
			for _, d := range done {
				isDone = isDone || d == i
			}
			if got.Stages[0].IsDone(i) != isDone {
				rt.Fatalf("task %d: done is %v", i, !isDone)
			}
		}
	})
}

// FuzzDecode checks that decoding a damaged row, or one of a later version, returns an error
// and does not panic.
func FuzzDecode(f *testing.F) {
	record, err := EncodeRecord(&Record{ID: "5c0e7a21d94b36f8", Steps: []Step{{Count: 2, DependsOn: []int{0}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(record)
	f.Add([]byte{})
	f.Add([]byte{2, 0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		if r, err := DecodeRecord(data); err == nil && data[0] != codecVersion {
			t.Errorf("decoded %+v of version %d", r, data[0])
		}
		if p, err := DecodeProgress(data); err == nil {
			for i := range p.Stages {
				p.Stages[i].IsDone(1 << 20)
			}
		}
	})
}

func TestTaskNames(t *testing.T) {
	want := TaskID{Job: "5c0e7a21d94b36f8", Occurrence: 1, Step: 2, Index: 33}
	got, err := ParseTaskID(want.String())
	if err != nil || got != want || got.Stage().String() != "5c0e7a21d94b36f8.1.2" {
		t.Errorf("got %+v, error %v", got, err)
	}
	for _, bad := range []string{"", "a.1.2", "a.1.2.x", "a.1.2.-3", ".1.2.3", "a.1.2.3.4"} {
		if _, err := ParseTaskID(bad); err == nil {
			t.Errorf("%q was accepted as a task name", bad)
		}
	}
}

func TestInvalidRecordsAreRejected(t *testing.T) {
	step := func(change func(*Step)) *Record {
		s := Step{Count: 1}
		change(&s)
		return &Record{Steps: []Step{s}}
	}
	bad := map[string]*Record{
		"no steps":       {},
		"no tasks":       step(func(s *Step) { s.Count = 0 }),
		"negative need":  step(func(s *Step) { s.Need.MilliCPU = -1 }),
		"cycle":          step(func(s *Step) { s.DependsOn = []int{0} }),
		"negative limit": step(func(s *Step) { s.MaxPerWorker = -1 }),
		"too many tasks": step(func(s *Step) { s.Count = MaxTasks + 1 }),
		"long spec":      {Spec: compressed.Text(make([]byte, MaxSpecBytes+1)), Steps: []Step{{Count: 1}}},
		"no occurrence":  {Steps: []Step{{Count: 1}}, Schedule: &Schedule{}},
	}
	for name, r := range bad {
		if r.Validate() == nil {
			t.Errorf("record with %s was accepted", name)
		}
	}
	if err := step(func(*Step) {}).Validate(); err != nil {
		t.Error(err)
	}
}
