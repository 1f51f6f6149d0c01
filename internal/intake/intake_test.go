package intake_test

import (
	"context"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"gentianstand/internal/access"
	"gentianstand/internal/admission"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/cellpeer"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/fault"
	"gentianstand/internal/intake"
	"gentianstand/internal/job"
	"gentianstand/internal/resource"
	"gentianstand/internal/store"
	"gentianstand/platform"
	"gentianstand/platform/standin"
)

// entry is one instance with its own way to the store.
type entry struct {
	intake *intake.Intake
	jobs   *celljobs.Jobs
	store  *store.Monitored
	proxy  *standin.Proxy
}

// ownerless is an instance that knows no owner.
type ownerless struct{ store *store.Monitored }

func (o ownerless) Ping(*cellpb.PingRequest) *cellpb.PingReply {
	return &cellpb.PingReply{StoreOk: o.store.Reachable()}
}
func (ownerless) TakeOver(context.Context, string, uint64) bool { return false }
func (ownerless) Submitted(*job.Record) bool                    { return false }
func (ownerless) Backlogs() []admission.Backlog                 { return nil }
func (ownerless) Cancelled(string) bool                         { return false }
func (ownerless) Status(string) (job.Status, bool)              { return job.Status{}, false }
func (ownerless) Waiting(string) (int, bool)                    { return 0, false }
func (ownerless) Owner() (string, bool)                         { return "", false }

// entries returns instances over one store that know one another.
func entries(t *testing.T, names ...string) []*entry {
	t.Helper()
	backing := httptest.NewServer(standin.NewStore())
	t.Cleanup(backing.Close)
	var all []*entry
	var directories []*cellpeer.Directory
	for _, name := range names {
		e, d := join(t, name, backing.Listener.Addr().String())
		all = append(all, e)
		directories = append(directories, d)
	}
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		complete := true
		for _, d := range directories {
			complete = complete && len(d.Others()) == len(names)-1
		}
		if complete {
			return all
		}
	}
	t.Fatal("the instances do not know one another")
	return nil
}

func join(t *testing.T, name, storeAddress string) (*entry, *cellpeer.Directory) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(t.Output())
	log := logger.WithField("instance", name)
	proxy, err := standin.NewProxy("127.0.0.1:0", storeAddress)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	e := &entry{proxy: proxy, store: store.NewMonitored(platform.NewStore(proxy.Address()))}
	e.jobs = celljobs.New(e.store, "cell-0")
	server := httptest.NewServer(cellpeer.NewServer(ownerless{e.store}, e.jobs, nil, nil, log))
	t.Cleanup(server.Close)
	clients := cellpeer.NewClients()
	self := cellpeer.Instance{Name: name, Address: server.Listener.Addr().String(), Incarnation: name}
	directory := cellpeer.NewDirectory(self, e.store, log)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		directory.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	e.intake = intake.New(e.jobs, e.store, ownerless{e.store}, cellpeer.NewStoreFinder(directory, clients), clients, intake.NewMetrics(metrics.NewSet()), log)
	return e, directory
}

// refuse has the store refuse an instance, and waits until it has noticed.
func (e *entry) refuse(t *testing.T) {
	t.Helper()
	e.proxy.Refuse(true)
	e.proxy.Reset()
	for end := time.Now().Add(30 * time.Second); e.store.Reachable() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
}

func record(id string) *job.Record {
	return &job.Record{ID: id, Queue: "q", Service: "desk", MaxAttempts: 1, Stretch: 2, AcceptedAt: time.Now(),
		Steps: []job.Step{{Count: 1, Need: resource.Amount{MilliCPU: 100, MemoryMiB: 10}, Estimate: time.Second}}}
}

func (e *entry) submit(t *testing.T, id string) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return e.intake.Submit(ctx, record(id))
}

func (e *entry) knows(t *testing.T, id string) bool {
	t.Helper()
	_, known, err := e.intake.State(t.Context(), access.Caller{Anonymous: true}, id)
	if err != nil {
		t.Fatal(err)
	}
	return known
}

// Failure: callers in one zone are refused while the others are served.
func TestJobIsStoredThroughAnotherInstance(t *testing.T) {
	all := entries(t, "edge-0", "edge-1", "edge-2")
	all[0].refuse(t)
	if err := all[0].submit(t, "00000000000000aa"); err != nil {
		t.Fatalf("not accepted: %v", err)
	}
	if !all[1].knows(t, "00000000000000aa") {
		t.Error("the accepted job is not in the store")
	}
}

// Failure: callers wait for nothing in an outage, or a job that was refused runs.
func TestOutageForAllIsRefusedAndNothingIsStored(t *testing.T) {
	all := entries(t, "edge-0", "edge-1")
	for _, e := range all {
		e.refuse(t)
	}
	err := all[0].submit(t, "00000000000000bb")
	if !fault.Is(err, fault.PlatformUnavailable) || fault.From(err).Answer().RetryAfter <= 0 {
		t.Errorf("got %v, want a refusal with when to come back", err)
	}
	for _, e := range all {
		e.proxy.Heal()
	}
	for end := time.Now().Add(30 * time.Second); !all[1].store.Reachable() && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if all[1].knows(t, "00000000000000bb") {
		t.Error("a refused job is in the store")
	}
}

// Failure: callers get an open outcome (504) although most instances have the store.
func TestOpenOutcomeIsSettledThroughAnotherInstance(t *testing.T) {
	all := entries(t, "edge-0", "edge-1")
	all[0].proxy.Cut(false, true)
	if err := all[0].submit(t, "00000000000000cc"); err != nil {
		t.Fatalf("not accepted: %v", err)
	}
	if !all[1].knows(t, "00000000000000cc") {
		t.Error("the accepted job is not in the store")
	}
}

// Failure: a caller was told that its job never runs, and it ran.
func TestRepeatOfAStoredJobIsNotRefused(t *testing.T) {
	e := entries(t, "edge-0")[0]
	if err := e.submit(t, "00000000000000dd"); err != nil {
		t.Fatal(err)
	}
	e.intake.UpdateBacklogs([]admission.Backlog{{Service: "desk", Priority: 0, Wait: time.Hour}})
	if err := e.submit(t, "00000000000000dd"); err != nil {
		t.Errorf("the repeat: %v", err)
	}
	err := e.submit(t, "00000000000000ee")
	if !fault.Is(err, fault.Overloaded) || fault.From(err).Answer().RetryAfter <= 0 {
		t.Errorf("a new job beside a backlog: %v, want a refusal with when to come back", err)
	}
	if e.knows(t, "00000000000000ee") {
		t.Error("the refused job is stored")
	}
}
