package cellleader

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"gentianstand/internal/catalog"
	"gentianstand/internal/cell"
	"gentianstand/internal/celljobs"
	"gentianstand/internal/cellowner"
	"gentianstand/internal/cellpeer"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/roster"
	"gentianstand/internal/store"
)

// simulatedGroup is a group of instances with one store and a network of function calls. It runs in
// a synctest bubble, so that its time does not depend on the machine.
type simulatedGroup struct {
	t       *testing.T
	members []*simulatedMember
	// linked is true if the owner has a link to each other member, which always carries frames.
	linked atomic.Bool
	// inTransit counts the calls on their way.
	inTransit sync.WaitGroup
	mu        sync.Mutex
	// fault returns what happens to a ping; nil means that all arrive.
	fault func(from, to *simulatedMember, r *cellpb.PingRequest) simulatedFault
}

// simulatedFault is a fault of the network.
type simulatedFault struct {
	// lost is true if the ping does not arrive.
	lost bool
	// late is how much later it arrives, also if the caller has stopped waiting.
	late time.Duration
}

// simulatedMember is one instance of a simulatedGroup.
type simulatedMember struct {
	name   string
	leader *Leader
	access *memoryAccess
	links  *simulatedLinks
	logged *logtest.Hook
}

// simulate calls check with a running group of n members that has had an owner for long: the members
// know one another, and no previous owner matters any more.
func simulate(t *testing.T, n int, check func(t *testing.T, g *simulatedGroup)) {
	simulateFrom(t, n, 30*time.Second, check)
}

// simulateFrom calls check with a group of n members that has run for some time.
func simulateFrom(t *testing.T, n int, age time.Duration, check func(t *testing.T, g *simulatedGroup)) {
	// The race detector of Go 1.26 crashes if two threads run timers of one bubble at the same time.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	ctx, cancel := context.WithCancel(t.Context())
	g := &simulatedGroup{t: t}
	shared := newMemoryStore()
	for i := range n {
		g.members = append(g.members, g.newMember(fmt.Sprintf("edge-%d", i), shared))
	}
	var running sync.WaitGroup
	for _, m := range g.members {
		running.Go(func() { m.leader.directory.Run(ctx) })
		running.Go(func() { m.leader.Run(ctx) })
	}
	time.Sleep(age)
	defer func() {
		cancel()
		running.Wait()
		g.inTransit.Wait()
	}()
	check(t, g)
}

func (g *simulatedGroup) newMember(name string, shared *memoryStore) *simulatedMember {
	m := &simulatedMember{name: name, access: &memoryAccess{memoryStore: shared}, links: &simulatedLinks{group: g, member: name}}
	logger := logrus.New()
	logger.SetOutput(g.t.Output())
	m.logged = logtest.NewLocal(logger)
	log := logger.WithField("member", name)
	s := store.NewMonitored(m.access)
	self := cellpeer.Instance{Name: name, Address: name, Incarnation: name, StartedAt: time.Now(), Cores: 1}
	ownerMetrics := cellowner.NewMetrics(metrics.NewSet())
	clients := cellpeer.NewClientsOver(func(address string) cellpb.Cells { return &simulatedCalls{group: g, from: m, to: address} })
	directory := cellpeer.NewDirectory(self, s, log)
	newOwner := func(term uint64, previous PreviousOwner, c store.Check, leadership cellowner.Leadership) *cellowner.Owner {
		return cellowner.New(cell.Settings{Term: term, PreviousOwnerStopped: previous.Stopped, PreviousOwnerLimit: previous.Limit, Lease: time.Second}, c, cellowner.Deps{Store: s, Jobs: celljobs.New(s, "cell"),
			Roster: noWorkers{}, Advisers: cellpeer.NewAdvicePool(directory, clients, nil, nil), Catalog: (&catalog.Current{}).Get, Log: log, Metrics: ownerMetrics, Leadership: leadership})
	}
	m.leader = New("cell", directory, clients, s, newOwner, m.links, log)
	m.leader.suspensions = noSuspensions
	return m
}

// owner returns the member whose ownership is confirmed.
func (g *simulatedGroup) owner() *simulatedMember {
	g.t.Helper()
	for _, m := range g.members {
		if m.mayAct() {
			return m
		}
	}
	g.t.Fatal("no member owns the cell")
	return nil
}

// others returns all members but one.
func (g *simulatedGroup) others(one *simulatedMember) []*simulatedMember {
	var others []*simulatedMember
	for _, m := range g.members {
		if m != one {
			others = append(others, m)
		}
	}
	return others
}

// nextInOrder returns the member that is the first to succeed an owner.
func (g *simulatedGroup) nextInOrder(owner *simulatedMember) *simulatedMember {
	g.t.Helper()
	for _, m := range g.others(owner) {
		if m.leader.rank(owner.leader.current().Term).index == 0 {
			return m
		}
	}
	g.t.Fatal("no member is the first to succeed the owner")
	return nil
}

// setFault sets what happens to pings from now on.
func (g *simulatedGroup) setFault(fault func(from, to *simulatedMember, r *cellpb.PingRequest) simulatedFault) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fault = fault
}

// faultOf returns what happens to a ping now.
func (g *simulatedGroup) faultOf(from, to *simulatedMember, r *cellpb.PingRequest) simulatedFault {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fault == nil {
		return simulatedFault{}
	}
	return g.fault(from, to, r)
}

// recoveredAfter returns how long the last recovery of a member took, or 0.
func (m *simulatedMember) recoveredAfter() time.Duration {
	took := time.Duration(0)
	for _, entry := range m.logged.AllEntries() {
		if ms, ok := entry.Data["took_ms"].(int64); ok && entry.Message == "recovered" {
			took = time.Duration(ms) * time.Millisecond
		}
	}
	return took
}

// mayAct reports whether a member gives orders.
func (m *simulatedMember) mayAct() bool {
	owned := m.leader.ownTerm()
	return owned != nil && owned.Confirmed()
}

// simulatedCalls are the calls of one member to another.
type simulatedCalls struct {
	cellpb.Cells
	group *simulatedGroup
	from  *simulatedMember
	to    string
}

// simulatedTransit is how long a call and its answer take together.
const simulatedTransit = 2 * time.Millisecond

func (c *simulatedCalls) Ping(ctx context.Context, r *cellpb.PingRequest) (*cellpb.PingReply, error) {
	for _, to := range c.group.members {
		if to.name == c.to {
			return c.ping(ctx, to, r)
		}
	}
	return nil, fmt.Errorf("no member %q", c.to)
}

func (c *simulatedCalls) ping(ctx context.Context, to *simulatedMember, r *cellpb.PingRequest) (*cellpb.PingReply, error) {
	fault := c.group.faultOf(c.from, to, r)
	answer := make(chan *cellpb.PingReply, 1)
	if !fault.lost {
		c.group.inTransit.Go(func() {
			time.Sleep(simulatedTransit + fault.late)
			answer <- to.leader.Ping(r)
		})
	}
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case reply := <-answer:
		return reply, nil
	}
}

// simulatedLinks are the links of one member, over which frames take no time.
type simulatedLinks struct {
	group    *simulatedGroup
	member   string
	observed atomic.Uint64
}

func (l *simulatedLinks) ObserveTerm(term uint64) { l.observed.Store(max(l.observed.Load(), term)) }

func (l *simulatedLinks) OwnerLastSeen(term uint64) time.Time {
	if !l.group.linked.Load() || l.observed.Load() != term {
		return time.Time{}
	}
	return time.Now()
}

func (l *simulatedLinks) ConfirmedBy(term uint64, _ time.Time) []string {
	var names []string
	for _, m := range l.group.members {
		if l.group.linked.Load() && m.name != l.member && m.links.observed.Load() <= term {
			names = append(names, m.name)
		}
	}
	return names
}

// noWorkers is an empty roster.
type noWorkers struct{}

func (noWorkers) All(context.Context) (roster.Change, error) { return roster.Change{}, nil }

func (noWorkers) Since(ctx context.Context, version uint64, wait time.Duration) (roster.Change, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	return roster.Change{Version: version}, nil
}
