package node

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"

	"gentianstand/internal/boottime"
	"gentianstand/internal/catalog"
	"gentianstand/internal/cellpeer"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/store"
)

// servedInstance is an instance that can reach the store.
type servedInstance struct{ cellpeer.CellOwner }

func (servedInstance) Ping(*cellpb.PingRequest) *cellpb.PingReply {
	return &cellpb.PingReply{StoreOk: true}
}

// directoryStore is a store that lists one other instance.
type directoryStore struct {
	store.Store
	rows []store.Row
}

func (l *directoryStore) Commit(context.Context, store.Tx) (uint64, error) { return 1, nil }
func (l *directoryStore) Read(context.Context, string, string, string) (store.Page, error) {
	return store.Page{Rows: l.rows, Version: 1}, nil
}
func (l *directoryStore) Changes(context.Context, string, uint64, time.Duration) (store.Page, error) {
	return store.Page{Version: 1}, nil
}

// Guards against an instance without access to the store that refuses callers, or that considers
// the configuration of another instance more recent than it is.
func TestViewIsConfirmedByAnotherInstance(t *testing.T) {
	log, _ := logtest.NewNullLogger()
	// The clocks of the two instances are unrelated.
	theirs := &slowSource{now: boottime.Instant(time.Hour), update: catalog.Update{Position: 5, Catalog: catalog.New(catalog.Content{Version: 4,
		Workspaces: []catalog.Workspace{{Name: "north", Keys: []catalog.KeyDigest{catalog.DigestOf("k")}}}})}}
	peer := readerOf(theirs)
	if err := peer.read(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	theirs.now = theirs.now.Add(400 * time.Millisecond)
	server := httptest.NewServer(cellpeer.NewServer(servedInstance{}, nil, nil, &catalogPeers{reader: peer}, log))
	defer server.Close()

	directory := cellpeer.NewDirectory(cellpeer.Instance{Name: "here"}, &directoryStore{rows: []store.Row{instanceRow(t, "there", server.Listener.Addr().String())}}, log)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go directory.Run(ctx)
	for end := time.Now().Add(30 * time.Second); len(directory.Others()) == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	clients := cellpeer.NewClients()
	ours := readerOf(&slowSource{now: boottime.Instant(time.Minute), err: store.ErrUnavailable})
	asking := &catalogPeers{reader: ours, finder: cellpeer.NewStoreFinder(directory, clients), clients: clients}
	if err := asking.Confirm(t.Context()); err != nil {
		t.Fatal(err)
	}
	view := ours.current.View()
	if view.Catalog == nil || view.Catalog.Version != 4 {
		t.Fatalf("catalog %+v", view.Catalog)
	}
	if name, known := view.Catalog.WorkspaceOf(catalog.DigestOf("k")); !known || name != "north" {
		t.Errorf("the key belongs to workspace %q", name)
	}
	if age := view.Age(ours.now()); age < 400*time.Millisecond || age > 500*time.Millisecond {
		t.Errorf("the view is %v old here, 400 ms there", age)
	}
}
