package cellpeer

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"gentianstand/internal/advice"
	"gentianstand/internal/advicebudget"
	"gentianstand/internal/cell"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/job"
)

const (
	// quickConcurrency is how many quick calls may be in progress at one instance.
	quickConcurrency = advicebudget.QuickCallsPerInstance
	// failureBackoff is how long an instance is avoided after a failed call.
	failureBackoff = 2 * time.Second
)

// AdvicePool spreads calls to the placement adviser over all instances. A slow call takes
// most of a second and the adviser serves the calls of one instance one at a time, so a
// single instance could make only few of them. AdvicePool is safe for concurrent use.
type AdvicePool struct {
	directory *Directory
	clients   *Clients
	local     advice.Adviser
	links     AdviceLinks

	mu     sync.Mutex
	states map[string]*peerState
	// reserved holds the reserved calls by stage.
	reserved map[job.StageID]reservedCall
	// quick decides how many instances carry quick calls only, and quickCalls is the number of quick
	// calls in progress.
	quick      advicebudget.QuickReserve
	quickCalls int
	// fixedShare is set if the instances for quick calls are a fixed share.
	fixedShare bool
}

// peerState counts the calls in progress at one instance. The instance is avoided until
// avoidUntil.
type peerState struct {
	calls int
	// slow counts the slow calls that began while the instance was open to all calls. Quick calls do
	// not use it until they have ended, even if it now carries quick calls only.
	slow       int
	avoidUntil time.Time
	// failed is set if the last call failed.
	failed bool
}

// reservedCall is a call that occupies a concurrency slot at an instance.
type reservedCall struct {
	adviceInstance
	slow bool
}

// adviceInstance is an instance and whether it carries quick calls only.
type adviceInstance struct {
	Instance
	quickOnly bool
	// lost instances are not used. doubtful ones, whose last call failed, are used after all others.
	lost, doubtful bool
}

func (i adviceInstance) works() bool { return !i.lost && !i.doubtful }

// NewAdvicePool returns a pool over the instances of a directory. local makes calls from
// this instance, links through others. If links is nil, others are reached by peer calls
// only.
func NewAdvicePool(d *Directory, c *Clients, local advice.Adviser, links AdviceLinks) *AdvicePool {
	return &AdvicePool{directory: d, clients: c, local: local, links: links, states: map[string]*peerState{}, reserved: map[job.StageID]reservedCall{}}
}

// KeepFixedShare makes the instances for quick calls a fixed share of all, whatever quick calls need.
func (p *AdvicePool) KeepFixedShare() { p.fixedShare = true }

// Slots returns the number of free concurrency slots, that is, of calls that may start now.
func (p *AdvicePool) Slots() cell.AdviceSlots {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.instances(now)
	var s cell.AdviceSlots
	for _, i := range all {
		l := p.state(i.Name)
		switch {
		case now.Before(l.avoidUntil) || i.lost:
		case i.quickOnly && l.slow > 0:
		case i.quickOnly:
			s.Quick += max(0, quickConcurrency-l.calls)
			if l.calls == 0 {
				s.IdleQuick++
			}
		case l.calls == 0:
			s.Any++
		}
	}
	return s
}

// Reserve chooses an instance for an order and occupies a concurrency slot there.
func (p *AdvicePool) Reserve(o cell.AdviceOrder) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	all := p.instances(now)
	best := -1
	for i, instance := range all {
		l := p.state(instance.Name)
		if now.Before(l.avoidUntil) || instance.lost || (o.Slow && instance.quickOnly && !o.MayUseQuick) || !o.Slow && l.slow > 0 {
			continue
		}
		if best < 0 || p.preferred(instance, all[best], o.Slow) {
			best = i
		}
	}
	target := adviceInstance{Instance: p.directory.Self()}
	if best >= 0 {
		target = all[best]
	}
	call := reservedCall{adviceInstance: target, slow: o.Slow && !target.quickOnly}
	p.reserved[o.Stage] = call
	p.count(call, o, 1)
	p.quick.Observe(p.quickCalls, now)
}

// count adds n to the calls in progress of a call's kind; p.mu must be held.
func (p *AdvicePool) count(call reservedCall, o cell.AdviceOrder, n int) {
	l := p.state(call.Name)
	l.calls += n
	if call.slow {
		l.slow += n
	}
	if !o.Slow {
		p.quickCalls += n
	}
}

// preferred reports whether a call should go to a rather than b. Every call prefers an instance with a
// free slot, then one that is not doubtful, then the one with fewer calls. Quick calls prefer instances that
// carry no slow calls to those with fewer calls.
func (p *AdvicePool) preferred(a, b adviceInstance, slow bool) bool {
	if free := p.hasFreeSlot(a); free != p.hasFreeSlot(b) {
		return free
	}
	if a.doubtful != b.doubtful {
		return b.doubtful
	}
	x, y := p.state(a.Name).calls, p.state(b.Name).calls
	if !slow && a.quickOnly != b.quickOnly {
		if a.quickOnly {
			return x < quickConcurrency
		}
		return y >= quickConcurrency && x == 0
	}
	return x < y
}

// hasFreeSlot reports whether an instance may take another call; p.mu must be held.
func (p *AdvicePool) hasFreeSlot(i adviceInstance) bool {
	calls := p.state(i.Name).calls
	return calls == 0 || i.quickOnly && calls < quickConcurrency
}

// Ask makes a reserved call.
func (p *AdvicePool) Ask(ctx context.Context, o cell.AdviceOrder) ([]advice.Ticket, error) {
	p.mu.Lock()
	call := p.reserved[o.Stage]
	delete(p.reserved, o.Stage)
	p.mu.Unlock()
	tickets, err := p.askAt(ctx, call.Instance, o)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.count(call, o, -1)
	if err != nil {
		s := p.state(call.Name)
		s.failed, s.avoidUntil = true, time.Now().Add(failureBackoff)
		return nil, fmt.Errorf("advice through %s: %w", call.Name, err)
	}
	p.state(call.Name).failed = false
	return tickets, nil
}

// askAt makes a call through the given instance.
func (p *AdvicePool) askAt(ctx context.Context, target Instance, o cell.AdviceOrder) ([]advice.Ticket, error) {
	if target.Name == p.directory.Self().Name {
		return p.local.Ask(ctx, o.Stage.String(), o.Workers)
	}
	if p.links != nil {
		if tickets, sent, err := p.links.Ask(ctx, target, o.Term, o.Stage.String(), o.Workers); sent {
			return tickets, err
		}
	}
	reply, err := p.clients.To(target.Address).Advise(ctx, &cellpb.AdviseRequest{Stage: o.Stage.String(), Workers: o.Workers})
	if err != nil {
		p.clients.CloseIdle(target.Address)
		return nil, err
	}
	tickets := make([]advice.Ticket, 0, len(reply.Tickets))
	for _, t := range reply.Tickets {
		tickets = append(tickets, advice.Ticket{Worker: t.Worker, Text: t.Text})
	}
	return tickets, nil
}

// instances returns all instances, in order of their names, with those that carry quick calls only. These
// are among the instances that work: if most instances are lost, slow calls would otherwise be left with
// lost ones. p.mu must be held.
func (p *AdvicePool) instances(now time.Time) []adviceInstance {
	self := p.directory.Self()
	all := []adviceInstance{{Instance: self}}
	for _, other := range p.directory.Others() {
		lost := p.links != nil && p.links.Lost(other.Name)
		all = append(all, adviceInstance{Instance: other, lost: lost, doubtful: p.state(other.Name).failed})
	}
	slices.SortFunc(all, func(a, b adviceInstance) int { return cmp.Compare(a.Name, b.Name) })
	p.markQuickOnly(all, now)
	return all
}

// markQuickOnly marks the first instances that work, which carry quick calls only; p.mu must be held.
func (p *AdvicePool) markQuickOnly(all []adviceInstance, now time.Time) {
	working := 0
	for _, i := range all {
		if i.works() {
			working++
		}
	}
	quick := advicebudget.MostQuickInstances(working)
	if !p.fixedShare {
		quick = p.quick.Instances(working, now)
	}
	for i := range all {
		if quick > 0 && all[i].works() {
			all[i].quickOnly = true
			quick--
		}
	}
}

// state returns the state of an instance; p.mu must be held.
func (p *AdvicePool) state(name string) *peerState {
	l := p.states[name]
	if l == nil {
		l = &peerState{}
		p.states[name] = l
	}
	return l
}
