package cellpeer

import (
	"context"
	"fmt"
	"io"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/admission"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/job"
)

// pingable is an instance that answers pings and nothing else.
type pingable struct {
	serves atomic.Bool
	pings  atomic.Int64
	// hold, if not nil, keeps answers back until it is closed.
	hold chan struct{}
}

func (p *pingable) Ping(*cellpb.PingRequest) *cellpb.PingReply {
	p.pings.Add(1)
	if p.hold != nil {
		<-p.hold
	}
	return &cellpb.PingReply{StoreOk: p.serves.Load()}
}

func (p *pingable) TakeOver(context.Context, string, uint64) bool { return false }
func (p *pingable) Submitted(*job.Record) bool                    { return false }
func (p *pingable) Backlogs() []admission.Backlog                 { return nil }
func (p *pingable) Cancelled(string) bool                         { return false }
func (p *pingable) Status(string) (job.Status, bool)              { return job.Status{}, false }
func (p *pingable) Waiting(string) (int, bool)                    { return 0, false }

// finderAmong returns a finder of an instance that knows the given ones.
func finderAmong(t *testing.T, instances ...*pingable) *StoreFinder {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := NewDirectory(Instance{Name: "self"}, nil, log)
	for i, p := range instances {
		server := httptest.NewServer(NewServer(p, nil, nil, nil, log))
		t.Cleanup(server.Close)
		name := fmt.Sprintf("edge-%d", i)
		d.others[name] = instanceRow{Instance: Instance{Name: name, Address: server.Listener.Addr().String()}}
	}
	return NewStoreFinder(d, NewClients())
}

// Failure: in an outage instances are busy with pings.
func TestSubmissionsShareASearch(t *testing.T) {
	peer := &pingable{}
	f := finderAmong(t, peer)
	var finds sync.WaitGroup
	for range 200 {
		finds.Go(func() {
			if i, ok := f.Find(context.Background()); ok {
				t.Errorf("found %s", i.Name)
			}
		})
	}
	finds.Wait()
	if searches := time.Since(f.endedAt)/resultMaxAge + 1; peer.pings.Load() > int64(searches) {
		t.Errorf("%d pings for %d searches", peer.pings.Load(), searches)
	}
}

// Failure: callers are refused 0.4 s late in an outage, each time.
func TestRefusalDoesNotWaitForADeadInstance(t *testing.T) {
	peer, dead := &pingable{}, &pingable{hold: make(chan struct{})}
	f := finderAmong(t, peer, dead)
	defer close(dead.hold)
	if _, ok := f.Find(context.Background()); ok {
		t.Fatal("found somebody")
	}
	search, known := f.refresh(f.endedAt.Add(resultMaxAge))
	if !known {
		t.Error("the next refusal waits for a search")
	}
	if search == nil {
		t.Error("nobody looks again")
	}
	<-search
}

// Failure: submissions are passed to an instance that has lost the store as well.
func TestInstanceWithTheStoreIsAskedAgain(t *testing.T) {
	peer := &pingable{}
	peer.serves.Store(true)
	f := finderAmong(t, peer)
	if _, ok := f.Find(context.Background()); !ok {
		t.Fatal("found nobody")
	}
	peer.serves.Store(false)
	search, known := f.refresh(f.endedAt.Add(resultMaxAge))
	if known {
		t.Error("an old result is used")
	}
	<-search
	if i, ok := f.Find(context.Background()); ok {
		t.Errorf("found %s", i.Name)
	}
}
