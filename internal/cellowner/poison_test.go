package cellowner

import (
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"gentianstand/internal/cell"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/job"
	"gentianstand/internal/store"
)

// An invalid stored row must not stop the owner that loads it, because it would stop every later
// owner, too.
func TestInvalidRowsDoNotStopTheOwner(t *testing.T) {
	log, lines := logtest.NewNullLogger()
	sound := &job.Record{ID: "00000000000000aa", Queue: "q", Steps: []job.Step{{Count: 1}}, AcceptedAt: time.Now()}
	noSuchStep := &job.Record{ID: "00000000000000bb", Queue: "q", Steps: []job.Step{{Count: 1, DependsOn: []int{7}}}, AcceptedAt: time.Now()}
	noSuchTask := &job.Record{ID: "00000000000000cc", Queue: "q", Steps: []job.Step{{Count: 1}}, AcceptedAt: time.Now()}
	kept, err := job.EncodeProgress(&job.Progress{Stages: []job.StageProgress{{Tasks: []job.TaskProgress{{Index: -1, LastRun: 1}}}}})
	if err != nil {
		t.Fatal(err)
	}
	var rows []store.Row
	for _, r := range []*job.Record{noSuchStep, noSuchTask, sound} {
		value, err := job.EncodeRecord(r)
		if err != nil {
			t.Fatal(err)
		}
		rows = append(rows, store.Row{Key: celljobs.JobKey(r.ID), Value: value, Version: 1})
	}
	o := New(cell.Settings{Term: 1}, store.Check{}, Deps{Log: log, Jobs: celljobs.New(store.NewMonitored(&delayingStore{}), "cell-0")})
	o.loadJobs(rows, []store.Row{{Key: noSuchTask.ID, Value: kept, Version: 1}})
	o.applyJobRows(rows)
	if _, known := o.Cell().Status(sound.ID); !known {
		t.Error("the sound job is not known")
	}
	seen := map[string]bool{}
	for _, line := range lines.AllEntries() {
		seen[line.Message] = true
	}
	if !seen["job_unreadable"] || !seen["progress_unreadable"] {
		t.Errorf("logged events: %v", seen)
	}
}
