package cellpeer

import (
	"context"
	"errors"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/celljobs"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/job"
	"gentianstand/internal/resource"
	"gentianstand/internal/store"
)

// deaf is a store that answers nothing and counts what is written to it.
type deaf struct {
	store.Store
	writes int
}

func (d *deaf) Commit(ctx context.Context, _ store.Tx) (uint64, error) {
	d.writes++
	<-ctx.Done()
	return 0, store.ErrUnknown
}

func (d *deaf) Get(ctx context.Context, _, _, _ string) (store.Row, error) {
	<-ctx.Done()
	return store.Row{}, store.ErrUnknown
}

// Failure: in the first second of an outage callers get an open outcome although the
// instance they asked knows that it lacks the store.
func TestNothingIsWrittenForAnotherWithoutTheStore(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	silent := &deaf{}
	server := httptest.NewServer(NewServer(&pingable{}, celljobs.New(store.NewMonitored(silent), "cell-0"), nil, nil, log))
	defer server.Close()
	record, err := job.EncodeRecord(&job.Record{ID: "00000000000000aa", Queue: "q", Service: "desk", MaxAttempts: 1, AcceptedAt: time.Now(),
		Steps: []job.Step{{Count: 1, Need: resource.Amount{MilliCPU: 1}, Estimate: time.Second}}})
	if err != nil {
		t.Fatal(err)
	}
	client := NewClients().To(server.Listener.Addr().String())
	_, err = client.StoreJob(t.Context(), &cellpb.StoreJobRequest{Record: record})
	if got := StoreErrorFrom(err); !errors.Is(got, store.ErrUnavailable) {
		t.Errorf("got %v, want that nothing was done", got)
	}
	if silent.writes > 0 {
		t.Errorf("%d writes", silent.writes)
	}
}
