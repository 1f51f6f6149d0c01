package cellowner

import (
	"testing"
	"time"

	"gentianstand/internal/celljobs"
	"gentianstand/internal/runner"
	"gentianstand/internal/store"
)

// Flush must store the remaining lease times of workers: the next owner would wait for a whole
// lease of a worker that this owner could not reach.
func TestFlushStoresRemainingLeaseTimes(t *testing.T) {
	o, _ := ownerOfOne(t, &lossyWorker{})
	rows := &delayingStore{rows: map[string]store.Row{}}
	o.deps.Store = rows
	o.deps.Jobs = celljobs.New(store.NewMonitored(rows), "cell-0")
	o.cell.PollFailed("w", runner.ErrNoAnswer, time.Now())
	o.Flush(t.Context())
	stored := 0
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
				stored++
			}
		}
	}
	if stored != 1 {
		t.Errorf("%d remaining lease times stored, want 1", stored)
	}
}
