package callerlimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// modelSlot is what a slot is expected to count for.
type modelSlot struct {
	slot    *Slot
	conn    *fakeConnection
	bytes   int64
	serving bool
}

// model applies random operations to a ledger and keeps its own account of them.
type model struct {
	limits Limits
	ledger *Ledger
	now    time.Time
	slots  []*modelSlot
}

// TestLimitsHoldAfterAnyOperations compares a ledger with a plain account of its slots.
func TestLimitsHoldAfterAnyOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{limits: Limits{Connections: 9, BodyBytes: 100, Requests: 3}, now: start}
		m.ledger = NewLedger(m.limits)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
			"time": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			},
			"open":    m.open,
			"receive": func(t *rapid.T) { m.with(t, m.receive) },
			"hold":    m.hold,
			"serve":   m.serve,
			"wait":    func(t *rapid.T) { m.with(t, m.wait) },
			"close":   func(t *rapid.T) { m.with(t, m.close) },
		})
	})
}

func (m *model) pick(t *rapid.T) *modelSlot {
	if len(m.slots) == 0 {
		t.Skip("no connection is open")
	}
	return rapid.SampledFrom(m.slots).Draw(t, "slot")
}

func (m *model) with(t *rapid.T, do func(*modelSlot)) { do(m.pick(t)) }

func (m *model) open(t *rapid.T) {
	s, c := open(m.ledger, m.now)
	if s != nil {
		m.slots = append(m.slots, &modelSlot{slot: s, conn: c})
	} else if len(m.slots) < m.limits.Connections {
		t.Errorf("no place for a connection although %d are open", len(m.slots))
	}
}

func (m *model) receive(s *modelSlot) {
	if s.slot.Receive(m.now) == nil {
		s.serving = false
	}
}

func (m *model) hold(t *rapid.T) {
	s := m.pick(t)
	n := int64(rapid.IntRange(1, 60).Draw(t, "bytes"))
	if hold(s.slot, n, m.now) == nil {
		s.bytes += n
	}
}

func (m *model) serve(t *rapid.T) {
	s := m.pick(t)
	if s.slot.Serve() != nil {
		return
	}
	if s.conn.interrupted {
		t.Error("a request of an evicted connection is in progress")
	}
	s.serving = true
}

func (m *model) wait(s *modelSlot) {
	s.slot.Wait(m.now)
	s.bytes, s.serving = 0, false
}

func (m *model) close(s *modelSlot) {
	s.slot.Close()
	for i := range m.slots {
		if m.slots[i] == s {
			m.slots = append(m.slots[:i], m.slots[i+1:]...)
			return
		}
	}
}

func (m *model) check(t *rapid.T) {
	var want Usage
	bodies := 0
	for _, s := range m.slots {
		if s.conn.interrupted && s.serving {
			t.Error("a request in progress was interrupted")
		}
		if s.conn.interrupted {
			s.bytes = 0
		}
		want.Connections++
		want.BodyBytes += s.bytes
		if s.bytes > 0 {
			bodies++
		}
		if s.serving {
			want.Requests++
		}
	}
	got := m.ledger.Usage()
	if got != want {
		t.Errorf("usage %+v, want %+v", got, want)
	}
	if got.Connections > m.limits.Connections || got.Requests > m.limits.Requests || bodies > 1 && got.BodyBytes > m.limits.BodyBytes {
		t.Errorf("usage %+v with %d bodies exceeds %+v", got, bodies, m.limits)
	}
}
