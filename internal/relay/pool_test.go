package relay

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"gentianstand/internal/cellpeer"
	"gentianstand/internal/runner"
)

// fakeDirectory is a directory whose instances a test can change.
type fakeDirectory struct {
	mu     sync.Mutex
	others []cellpeer.Instance
}

func (d *fakeDirectory) Self() cellpeer.Instance {
	return cellpeer.Instance{Name: "owner", Zone: "z", Incarnation: "1"}
}

func (d *fakeDirectory) Others() []cellpeer.Instance {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]cellpeer.Instance(nil), d.others...)
}

// fleet is a pool with some relays in one zone.
type fleet struct {
	pool      *Pool
	directory *fakeDirectory
	direct    *fakeWorkers
	relays    map[string]*site
}

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	d := &fakeDirectory{}
	f := &fleet{directory: d, direct: &fakeWorkers{}, relays: map[string]*site{}}
	for i := range n {
		s := newSite(t)
		name := fmt.Sprintf("edge-%d", i)
		f.relays[name] = s
		d.others = append(d.others, cellpeer.Instance{Name: name, Zone: "a", Address: s.proxy.Address(), Incarnation: "1"})
	}
	f.pool = NewPool(d, f.direct, logger(t))
	t.Cleanup(func() {
		for _, l := range f.pool.allLinks() {
			l.endWithoutBackoff("the test is over")
		}
	})
	return f
}

// used returns the relay through which w1 is reached.
func (f *fleet) used(t *testing.T) *site {
	t.Helper()
	l := f.pool.route(w1, time.Now()).link
	if l == nil {
		t.Fatal("no relay is used")
	}
	return f.relays[l.peer.Name]
}

func (f *fleet) start(t *testing.T) error {
	_, err := f.pool.Start(within(t), w1, runner.Start{Task: "a", Run: 1, Token: 1})
	return err
}

func (f *fleet) poll(t *testing.T) error {
	_, err := f.pool.Poll(within(t), w1, runner.Poll{Token: 1, Wait: time.Second})
	return err
}

// Guards against workers that become unresponsive when their relay dies: polls must
// continue through another relay.
func TestPollsContinueWhenARelayDies(t *testing.T) {
	f := newFleet(t, 3)
	if err := f.start(t); err != nil {
		t.Fatal(err)
	}
	first := f.used(t)
	first.proxy.Close()
	if err := f.poll(t); err != nil {
		t.Errorf("poll: %v", err)
	}
	if f.used(t) == first {
		t.Error("the dead relay is still used")
	}
	if err := f.start(t); err != nil {
		t.Errorf("start: %v", err)
	}
	if n := len(f.direct.started()); n > 0 {
		t.Errorf("%d starts made directly although two relays are left", n)
	}
}

func TestInstanceReachesWorkersItselfWithoutRelays(t *testing.T) {
	f := newFleet(t, 2)
	for _, s := range f.relays {
		s.proxy.Close()
	}
	if err := f.start(t); err != nil {
		t.Fatal(err)
	}
	if n := len(f.direct.started()); n != 1 {
		t.Errorf("%d starts made directly, want 1", n)
	}
}

// Guards against a healthy worker that counts as unresponsive for seconds, because the
// network between it and its relay is broken.
func TestWorkerThatDoesNotAnswerIsTriedThroughItsNextRelay(t *testing.T) {
	f := newFleet(t, 3)
	first := f.used(t)
	first.workers.fail = runner.ErrNoAnswer
	if err := f.start(t); !errors.Is(err, runner.ErrNoAnswer) {
		t.Fatalf("got %v", err)
	}
	if f.used(t) == first {
		t.Error("the same relay is used again")
	}
	if err := f.start(t); err != nil {
		t.Errorf("start through the next relay: %v", err)
	}
	later := time.Now().Add(detourPeriod)
	for _, l := range f.pool.allLinks() {
		l.mu.Lock()
		l.lastFrameAt = later
		l.mu.Unlock()
	}
	if l := f.pool.route(w1, later).link; f.relays[l.peer.Name] != first {
		t.Error("the first relay is not used again later")
	}
}

// accepts reports whether a link takes calls.
func accepts(l *Link) bool { return l.state(time.Now()) != linkClosed }

// openLinks opens links to all relays and returns them.
func (f *fleet) openLinks(t *testing.T) []*Link {
	t.Helper()
	f.pool.mu.Lock()
	f.pool.refresh(time.Now())
	all := f.pool.instances
	f.pool.mu.Unlock()
	var links []*Link
	for _, i := range all {
		if i.Name == "owner" {
			continue
		}
		f.pool.mu.Lock()
		l, _ := f.pool.link(i, time.Now())
		f.pool.mu.Unlock()
		if got := l.do(within(t), callTo(w1, startOf("a", 1))); got.err != nil {
			t.Fatal(got.err)
		}
		links = append(links, l)
	}
	return links
}

func TestUnusedLinksEnd(t *testing.T) {
	f := newFleet(t, 2)
	links := f.openLinks(t)
	now := time.Now().Add(idleAfter + time.Second)
	for _, l := range links {
		l.mu.Lock()
		l.lastFrameAt = now
		l.mu.Unlock()
	}
	f.pool.scan(now)
	for _, l := range links {
		if accepts(l) {
			t.Errorf("the link to %s is kept", l.peer.Name)
		}
	}
	for end := time.Now().Add(20 * time.Second); len(f.pool.allLinks()) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if err := f.start(t); err != nil || len(f.direct.started()) > 0 {
		t.Errorf("a relay whose idle link ended is avoided: %v", err)
	}
}

// Guards against a new owner on a small machine that reaches only half of the workers for
// as long as the load lasts, because its links open slowly and it calls the workers
// directly instead.
func TestCallsWaitForLinksWhereNoneOpensSoon(t *testing.T) {
	f := newFleet(t, 3)
	f.pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
		time.Sleep(2 * openWait)
		return dialRelay(ctx, address)
	}
	if err := f.start(t); err != nil {
		t.Fatal(err)
	}
	if n := len(f.direct.started()); n > 0 {
		t.Errorf("%d starts of this instance", n)
	}
}

// Guards against calls that wait out the opening timeout of a link although another link is
// open.
func TestCallsTakeAnOpenLinkRatherThanASlowOne(t *testing.T) {
	f := newFleet(t, 2)
	first := f.pool.route(w1, time.Now()).link
	first.endWithoutBackoff("the test reopens it")
	for end := time.Now().Add(20 * time.Second); len(f.pool.allLinks()) > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	f.pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
		if address == first.peer.Address {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return dialRelay(ctx, address)
	}
	began := time.Now()
	if err := f.start(t); err != nil {
		t.Fatal(err)
	}
	if n := len(f.direct.started()); n > 0 {
		t.Errorf("%d starts of this instance", n)
	}
	if got := f.pool.route(w1, time.Now()).link; got == nil || got.peer.Name == first.peer.Name {
		t.Error("the link that does not open is used")
	}
	t.Logf("the first start took %v", time.Since(began))
}
