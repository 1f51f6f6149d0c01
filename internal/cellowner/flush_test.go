package cellowner

import (
	"testing"
	"time"

	"gentianstand/internal/celljobs"
	"gentianstand/internal/runner"
	"gentianstand/internal/store"
)

// Failure: the next owner waits for a whole lease of a worker that this one did not hear.
func TestTheEndOfATermTellsHowLongLeasesLast(t *testing.T) {
	o, _ := ownerOfOne(t, &losing{})
	rows := &lateStore{rows: map[string]store.Row{}}
	o.deps.Store = rows
	o.deps.Jobs = celljobs.New(store.NewMonitored(rows), "cell-0")
	o.cell.PollFailed("w", runner.ErrNoAnswer, time.Now())
	o.Flush(t.Context())
	told := 0
	for key, row := range rows.rows {
		if _, ok := celljobs.ParseWorkersKey(key); !ok {
			continue
		}
		workers, err := celljobs.DecodeWorkers(row.Value)
		if err != nil {
			t.Fatal(err)
		}
		for _, w := range workers {
			if w.LeaseRemainingMillis > 0 && w.Term == o.term {
				told++
			}
		}
	}
	if told != 1 {
		t.Errorf("the store was told of %d leases, want 1", told)
	}
}
