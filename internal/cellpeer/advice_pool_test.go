package cellpeer

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/cell"
	"gentianstand/internal/job"
)

// Guards against slow calls of tasks that are down for very long that wait although the instance for
// quick calls has none, and against slow calls there beside other calls.
func TestSlowCallUsesTheInstanceForQuickCallsOnlyWithLeave(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := NewDirectory(Instance{Name: "b"}, &tableStore{}, log)
	d.others = map[string]instanceRow{"a": {Instance: Instance{Name: "a"}}, "c": {Instance: Instance{Name: "c"}}}
	p := NewAdvicePool(d, NewClients(), nil, nil)
	for step, test := range []struct {
		slow, mayUseQuick bool
		want              string
		free              cell.AdviceSlots
	}{
		{true, false, "b", cell.AdviceSlots{Quick: 2, Any: 1, IdleQuick: 1}},
		{true, false, "c", cell.AdviceSlots{Quick: 2, IdleQuick: 1}},
		{true, true, "a", cell.AdviceSlots{Quick: 1}},
		{false, false, "a", cell.AdviceSlots{}},
	} {
		stage := job.StageID{Step: step}
		p.Reserve(cell.AdviceOrder{Stage: stage, Slow: test.slow, MayUseQuick: test.mayUseQuick})
		if got := p.reserved[stage].Name; got != test.want {
			t.Errorf("call %d goes to %s, want %s", step, got, test.want)
		}
		if free := p.Slots(); free != test.free {
			t.Errorf("after call %d free slots %+v, want %+v", step, free, test.free)
		}
	}
}

// Guards against a quick call that waits behind a slow one at an instance that was open to slow calls
// when that one began.
func TestQuickCallAvoidsAnInstanceWithASlowCall(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := NewDirectory(Instance{Name: "a"}, &tableStore{}, log)
	d.others = map[string]instanceRow{"b": {Instance: Instance{Name: "b"}}}
	p := NewAdvicePool(d, NewClients(), nil, nil)
	p.Reserve(cell.AdviceOrder{Stage: job.StageID{Step: 0}, Slow: true})
	p.Reserve(cell.AdviceOrder{Stage: job.StageID{Step: 1}})
	if slow, quick := p.reserved[job.StageID{Step: 0}].Name, p.reserved[job.StageID{Step: 1}].Name; slow == quick {
		t.Errorf("both calls go to %s", slow)
	}
	if free := p.Slots(); free != (cell.AdviceSlots{}) {
		t.Errorf("free slots %+v while each instance has a call", free)
	}
}

// fakeLinks are links of which some are lost.
type fakeLinks struct {
	AdviceLinks
	lost map[string]bool
}

func (f fakeLinks) Lost(instance string) bool { return f.lost[instance] }

// advicePoolOf returns the pool of instance "y" beside instances "a" to "h".
func advicePoolOf(links AdviceLinks) *AdvicePool {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := NewDirectory(Instance{Name: "y"}, &tableStore{}, log)
	for name := 'a'; name <= 'h'; name++ {
		d.others[string(name)] = instanceRow{Instance: Instance{Name: string(name)}}
	}
	return NewAdvicePool(d, NewClients(), nil, links)
}

// Guards against work without tickets because its calls go from one lost instance to the next, of which the
// first is tried again before one that works has its turn.
func TestCallsGoToInstancesThatHaveNotFailedFirst(t *testing.T) {
	for _, slow := range []bool{true, false} {
		p := advicePoolOf(nil)
		for name := 'a'; name <= 'g'; name++ {
			// The call failed longer ago than failureBackoff.
			p.state(string(name)).failed = true
		}
		p.Reserve(cell.AdviceOrder{Stage: job.StageID{Step: 1}, Slow: slow})
		if got := p.reserved[job.StageID{Step: 1}].Name; got != "h" && got != "y" {
			t.Errorf("slow %v: the call goes to %s, which failed the last one", slow, got)
		}
	}
}

// Guards against slow calls without an instance because those that are left carry quick calls only.
func TestLostInstancesTakeNoCalls(t *testing.T) {
	lost := map[string]bool{}
	p := advicePoolOf(fakeLinks{lost: lost})
	before := p.Slots()
	for name := 'd'; name <= 'h'; name++ {
		lost[string(name)] = true
	}
	// Of a, b, c and y one carries quick calls only.
	if got, want := p.Slots(), (cell.AdviceSlots{Quick: quickConcurrency, Any: 3, IdleQuick: 1}); got != want {
		t.Errorf("free slots %+v, before the loss %+v, want %+v", got, before, want)
	}
	for step := range 3 {
		stage := job.StageID{Step: step}
		p.Reserve(cell.AdviceOrder{Stage: stage, Slow: true})
		if name := p.reserved[stage].Name; lost[name] {
			t.Errorf("slow call %d goes to %s, which is lost", step, name)
		}
	}
}

// Guards against calls that pile up at the few instances that have not failed a call, and time out there.
func TestCallsGoToAFreeInstanceRatherThanToABusyOne(t *testing.T) {
	p := advicePoolOf(nil)
	for name := 'a'; name <= 'g'; name++ {
		p.state(string(name)).failed = true
	}
	for step := range 9 {
		p.Reserve(cell.AdviceOrder{Stage: job.StageID{Step: step}, Slow: true})
	}
	for name, s := range p.states {
		if s.calls > 1 {
			t.Errorf("%d calls at %s while others have none", s.calls, name)
		}
	}
}
