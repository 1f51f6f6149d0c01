package relay

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/advice"
	"gentianstand/internal/cellpeer"
	"gentianstand/internal/runner"
	"gentianstand/platform/standin"
)

// fakeAdviser returns tickets for every other worker.
type fakeAdviser struct{ fail error }

func (f *fakeAdviser) Ask(_ context.Context, stage string, workers []string) ([]advice.Ticket, error) {
	var tickets []advice.Ticket
	for i := len(workers) - 1; i >= 0; i -= 2 {
		tickets = append(tickets, advice.Ticket{Worker: workers[i], Text: stage + workers[i]})
	}
	return tickets, f.fail
}

// site is a relay behind a proxy, with fake workers and a fake adviser.
type site struct {
	workers *fakeWorkers
	adviser *fakeAdviser
	server  *Server
	proxy   *standin.Proxy
}

func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{workers: &fakeWorkers{}, adviser: &fakeAdviser{}}
	s.server = NewServer(s.workers, s.adviser, logger(t))
	mux := http.NewServeMux()
	mux.Handle(Path, s.server)
	http := httptest.NewServer(mux)
	t.Cleanup(func() {
		s.server.Close()
		http.Close()
	})
	proxy, err := standin.NewProxy("127.0.0.1:0", http.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(proxy.Close)
	s.proxy = proxy
	return s
}

func (s *site) link(t *testing.T) *Link {
	t.Helper()
	l := openLink(cellpeer.Instance{Name: "edge-1", Address: s.proxy.Address()}, dialRelay, linkEvents{ended: func(*Link) {}}, logger(t))
	t.Cleanup(func() { l.endWithoutBackoff("the test is over") })
	return l
}

// hangingStart sends a start that its worker does not answer, and returns once it has
// reached the worker. The channel receives its result.
func (s *site) hangingStart(t *testing.T, l *Link) <-chan result {
	t.Helper()
	s.workers.hang = true
	done := make(chan result, 1)
	ctx := within(t)
	go func() { done <- l.do(ctx, callTo(w1, startOf("a", 1))) }()
	for end := time.Now().Add(20 * time.Second); len(s.workers.started()) == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	return done
}

func logger(t *testing.T) logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(t.Output())
	return log
}

var w1 = runner.Target{ID: "w-1", Address: "10.0.0.1:80", Zone: "a"}

// within returns a context with a timeout far above the duration of any call that succeeds.
func within(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func callTo(w runner.Target, r request) *call { return &call{request: r, worker: w} }

func startOf(task string, token uint64) request {
	return request{Start: startFrom(runner.Start{Task: task, Run: 3, Spec: "the text of the job", Token: token,
		LeaseUntil: 5 * time.Second, Checkpoint: "s", Ticket: "t-" + task})}
}

func TestCallsReachTheWorkerAsTheyWereMade(t *testing.T) {
	s := newSite(t)
	l := s.link(t)
	for _, task := range []string{"a", "b"} {
		if got := l.do(within(t), callTo(w1, startOf(task, 7))); got.err != nil || got.answer.Clock != time.Second {
			t.Fatalf("start of %s: %+v", task, got)
		}
	}
	for i, got := range s.workers.started() {
		want := startOf([]string{"a", "b"}[i], 7).Start.toRunner()
		if got != want {
			t.Errorf("start %d is %+v, want %+v", i, got, want)
		}
	}
	for percent := 1; percent < 4; percent++ {
		poll := runner.Poll{Token: 7, Acknowledged: 57, Wait: time.Second}
		target := runner.Target{ID: w1.ID, Incarnation: runner.Incarnation(1767225600000 + percent), Address: w1.Address}
		got := l.do(within(t), callTo(target, request{Poll: pollFrom(poll)}))
		if s.workers.lastPoll != poll || got.report.Incarnation != target.Incarnation {
			t.Errorf("poll %d arrived as %+v, at incarnation %d", percent, s.workers.lastPoll, got.report.Incarnation)
		}
		want := runner.RunState{Task: "w-1-task", Run: 7, Checkpoint: "s", Percent: percent, Gauge: 17}
		if got.err != nil || got.report.Clock != 1234*time.Millisecond || len(got.report.Running) != 1 || got.report.Running[0] != want {
			t.Errorf("poll %d: %+v", percent, got)
		}
	}
}

func TestWorkerOutcomesReachTheOwner(t *testing.T) {
	s := newSite(t)
	l := s.link(t)
	for name, fail := range map[string]error{"refused": &runner.Refusal{Reason: runner.BadTicket}, "gone": runner.ErrIncarnationGone, "no answer": runner.ErrNoAnswer} {
		s.workers.mu.Lock()
		s.workers.fail = fail
		s.workers.mu.Unlock()
		got := l.do(within(t), callTo(w1, startOf(name, 1)))
		var refusal *runner.Refusal
		switch {
		case errors.As(fail, &refusal):
			var seen *runner.Refusal
			if !errors.As(got.err, &seen) || seen.Reason != refusal.Reason {
				t.Errorf("%s: %v", name, got.err)
			}
		case !errors.Is(got.err, fail):
			t.Errorf("%s: %v", name, got.err)
		}
	}
}

// Guards against a previous owner that keeps starting tasks after a takeover.
func TestRelayRefusesPreviousOwners(t *testing.T) {
	s := newSite(t)
	old, next := s.link(t), s.link(t)
	if got := next.do(within(t), callTo(w1, startOf("a", 8))); got.err != nil {
		t.Fatal(got.err)
	}
	got := old.do(within(t), callTo(runner.Target{ID: "w-2", Address: "10.0.0.2:80"}, startOf("b", 7)))
	var refusal *runner.Refusal
	if !errors.As(got.err, &refusal) || refusal.Reason != runner.Fenced {
		t.Errorf("got %v", got.err)
	}
	if started := s.workers.started(); len(started) != 1 {
		t.Errorf("%d starts reached workers", len(started))
	}
}

// Guards against a second start of a running task: an order that was sent on a lost link
// may have been carried out, so it must not count as not sent.
func TestOrdersOfALostLinkMayHaveBeenCarriedOut(t *testing.T) {
	s := newSite(t)
	l := s.link(t)
	done := s.hangingStart(t, l)
	s.proxy.Close()
	if got := <-done; !errors.Is(got.err, runner.ErrNoAnswer) || errors.Is(got.err, errNotSent) {
		t.Errorf("got %v", got.err)
	}
	if got := l.do(within(t), callTo(w1, startOf("b", 1))); !errors.Is(got.err, errNotSent) {
		t.Errorf("a call after the end of the link: %v", got.err)
	}
}

func TestLinkThatCannotBeOpenedSendsNothing(t *testing.T) {
	l := openLink(cellpeer.Instance{Name: "edge-1", Address: "127.0.0.1:1"}, dialRelay, linkEvents{ended: func(*Link) {}}, logger(t))
	if got := l.do(within(t), callTo(w1, startOf("a", 1))); !errors.Is(got.err, errNotSent) {
		t.Errorf("got %v", got.err)
	}
}

// Guards against a start that is carried out seconds after its owner has abandoned it.
func TestRequestsThatAreTooOldAreNotCarriedOut(t *testing.T) {
	one := newSession(nil, NewServer(&fakeWorkers{}, nil, logger(t)))
	now := time.UnixMilli(1_000_000)
	r := request{Number: 1, SentMillis: now.UnixMilli(), TimeoutMillis: 60, Start: &start{Token: 1}}
	if got := one.refusal(&r, now); got != nil {
		t.Errorf("a new request is refused: %+v", got)
	}
	r = request{Number: 2, SentMillis: now.UnixMilli(), TimeoutMillis: 60, Start: &start{Token: 1}}
	if got := one.refusal(&r, now.Add(4*time.Second)); got == nil || got.Outcome != expired {
		t.Errorf("a request of 4 s ago: %+v", got)
	}
}

func TestAdviceIsAskedThroughARelay(t *testing.T) {
	s := newSite(t)
	l := s.link(t)
	for _, ids := range [][]string{{"w-1", "w-2", "w-3"}, {"w-3", "w-4", "w-1"}} {
		got := l.do(within(t), &call{request: request{Advice: &adviceRequest{Token: 1, Stage: "j.0.1"}}, workerIDs: ids})
		want := []advice.Ticket{{Worker: ids[2], Text: "j.0.1" + ids[2]}, {Worker: ids[0], Text: "j.0.1" + ids[0]}}
		if got.err != nil || !slices.Equal(got.tickets, want) {
			t.Errorf("got %v, %v, want %v", got.tickets, got.err, want)
		}
	}
	s.adviser.fail = advice.ErrBusy
	got := l.do(within(t), &call{request: request{Advice: &adviceRequest{Token: 1, Stage: "j.0.1"}}, workerIDs: []string{"w-1"}})
	if got.err == nil || errors.Is(got.err, errNotSent) {
		t.Errorf("a busy adviser: %v", got.err)
	}
}

// Requests on a link replace pings: they show a relay which owner is active, and an owner
// which relays know of no later term.
func TestLinksConfirmTermsAndOwners(t *testing.T) {
	s := newSite(t)
	l := s.link(t)
	began := time.Now()
	if got := l.do(within(t), callTo(w1, startOf("a", 7))); got.err != nil {
		t.Fatal(got.err)
	}
	if at := s.server.OwnerLastSeen(7); at.Before(began) || !s.server.OwnerLastSeen(6).IsZero() {
		t.Errorf("the owner of term 7 was last seen at %v, that of term 6 at %v", at, s.server.OwnerLastSeen(6))
	}
	if !l.confirmedSince(7, began) || l.confirmedSince(6, began) || l.confirmedSince(7, time.Now()) {
		t.Error("the relay confirms the wrong term or time")
	}
	s.server.ObserveTerm(8)
	later := time.Now()
	var refusal *runner.Refusal
	if got := l.do(within(t), callTo(w1, startOf("b", 7))); !errors.As(got.err, &refusal) || refusal.Reason != runner.Fenced {
		t.Errorf("start of term 7 after term 8 is known: %v", got.err)
	}
	if l.confirmedSince(7, later) || !s.server.OwnerLastSeen(8).IsZero() {
		t.Error("a refused request confirms a term")
	}
}
