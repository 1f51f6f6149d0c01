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

// unresponsiveStore is a store that never answers and counts the writes to it.
type unresponsiveStore struct {
	store.Store
	writes int
}

func (d *unresponsiveStore) Commit(ctx context.Context, _ store.Tx) (uint64, error) {
	d.writes++
	<-ctx.Done()
	return 0, store.ErrUnknown
}

func (d *unresponsiveStore) Get(ctx context.Context, _, _, _ string) (store.Row, error) {
	<-ctx.Done()
	return store.Row{}, store.ErrUnknown
}

// Guards against an unknown outcome in the first second of an outage: the caller must get a
// definite failure if the instance it asked has no access to the store.
func TestNothingIsWrittenForAnotherWithoutTheStore(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	unresponsive := &unresponsiveStore{}
	server := httptest.NewServer(NewServer(&pingable{}, celljobs.New(store.NewMonitored(unresponsive), "cell-0"), nil, nil, log))
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
	if unresponsive.writes > 0 {
		t.Errorf("%d writes", unresponsive.writes)
	}
}
