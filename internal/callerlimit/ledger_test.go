package callerlimit

import (
	"errors"
	"testing"
	"time"
)

// fakeConnection records that it was interrupted.
type fakeConnection struct{ interrupted bool }

func (f *fakeConnection) Interrupt() { f.interrupted = true }

// open opens a slot and interrupts the evicted connections.
func open(l *Ledger, now time.Time) (*Slot, *fakeConnection) {
	c := &fakeConnection{}
	s, evicted := l.Open(c, now)
	interrupt(evicted)
	return s, c
}

func interrupt(evicted []Connection) {
	for _, e := range evicted {
		e.Interrupt()
	}
}

// receive opens a slot that holds n bytes of an unfinished body.
func receive(t *testing.T, l *Ledger, n int64, now time.Time) (*Slot, *fakeConnection) {
	t.Helper()
	s, c := open(l, now)
	if err := s.Receive(now); err != nil {
		t.Fatal(err)
	}
	if err := hold(s, n, now); err != nil {
		t.Fatal(err)
	}
	return s, c
}

func hold(s *Slot, n int64, now time.Time) error {
	evicted, err := s.Hold(n, now)
	interrupt(evicted)
	return err
}

var start = time.Unix(1000, 0)

// Guards against stalled bodies that keep the memory from a caller that sends its body.
func TestStalledBodyGivesUpItsMemory(t *testing.T) {
	l := NewLedger(Limits{Connections: 100, BodyBytes: 100, Requests: 10})
	small, smallConn := receive(t, l, 20, start)
	large, largeConn := receive(t, l, 80, start)
	now := start.Add(stallTime)
	receive(t, l, 80, now)
	if !largeConn.interrupted || smallConn.interrupted {
		t.Errorf("interrupted: large %v, small %v; want the large one alone", largeConn.interrupted, smallConn.interrupted)
	}
	if err := large.Serve(); !errors.Is(err, ErrEvicted) {
		t.Errorf("the evicted request got %v", err)
	}
	if err := small.Serve(); err != nil {
		t.Error(err)
	}
}

// Guards against large bodies that, one after the other, take the memory of those that are almost complete.
func TestBodyInProgressGivesWayToSmallerOnesOnly(t *testing.T) {
	l := NewLedger(Limits{Connections: 100, BodyBytes: 100, Requests: 10})
	_, conn := receive(t, l, 100, start)
	as, _ := open(l, start)
	if err := hold(as, 100, start); !errors.Is(err, ErrNoMemory) || conn.interrupted {
		t.Errorf("a body of the same size got %v", err)
	}
	if err := hold(as, 99, start); err != nil || !conn.interrupted {
		t.Errorf("a smaller body got %v", err)
	}
}

// Guards against requests that are interrupted although they may have been executed.
func TestRequestsInProgressAreNotEvicted(t *testing.T) {
	l := NewLedger(Limits{Connections: 1, BodyBytes: 100, Requests: 1})
	s, conn := receive(t, l, 100, start)
	if err := s.Serve(); err != nil {
		t.Fatal(err)
	}
	if other, _ := open(l, start.Add(time.Hour)); other != nil || conn.interrupted {
		t.Errorf("a connection got a place: %v, the request in progress was interrupted: %v", other != nil, conn.interrupted)
	}
}

// Guards against connections of which all stall at once, so that nobody gets a place until they time out.
func TestConnectionsThatStallTogetherMakeWay(t *testing.T) {
	const limit = 16
	l := NewLedger(Limits{Connections: limit, BodyBytes: 100, Requests: 1})
	slots := map[*fakeConnection]*Slot{}
	for range limit {
		s, c := open(l, start)
		if s == nil {
			t.Fatal("there is no place below the limit")
		}
		slots[c] = s
	}
	if s, _ := open(l, start.Add(stallTime/2)); s != nil {
		t.Error("there is a place beyond the limit")
	}
	now := start.Add(stallTime)
	open(l, now)
	for c, s := range slots {
		if c.interrupted {
			s.Close()
		}
	}
	if s, _ := open(l, now); s == nil {
		t.Error("there is no place after connections were evicted")
	}
}

// Guards against more connections that are told to leave than places are needed.
func TestEvictionsWaitForThoseThatLeave(t *testing.T) {
	const limit = 16
	l := NewLedger(Limits{Connections: limit, BodyBytes: 100, Requests: 1})
	var conns []*fakeConnection
	for range limit {
		_, c := open(l, start)
		conns = append(conns, c)
	}
	for range 100 {
		open(l, start.Add(time.Hour))
	}
	interrupted := 0
	for _, c := range conns {
		if c.interrupted {
			interrupted++
		}
	}
	if want := limit/8 + 1; interrupted != want {
		t.Errorf("%d connections were interrupted, want %d", interrupted, want)
	}
}

func TestRequestsInProgressAreLimited(t *testing.T) {
	l := NewLedger(Limits{Connections: 10, BodyBytes: 100, Requests: 1})
	first, _ := open(l, start)
	second, _ := open(l, start)
	if err := first.Serve(); err != nil {
		t.Fatal(err)
	}
	if err := second.Serve(); !errors.Is(err, ErrBusy) {
		t.Errorf("got %v beyond the limit", err)
	}
	first.Wait(start)
	if err := second.Serve(); err != nil {
		t.Errorf("got %v after a request had ended", err)
	}
}

// Guards against a limit that is smaller than a single body.
func TestBodyIsAcceptedWhileThereIsNoOther(t *testing.T) {
	l := NewLedger(Limits{Connections: 10, BodyBytes: 100, Requests: 1})
	receive(t, l, 1000, start)
	other, _ := open(l, start)
	if err := hold(other, 1000, start); !errors.Is(err, ErrNoMemory) {
		t.Errorf("a second body got %v", err)
	}
}
