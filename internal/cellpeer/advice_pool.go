package cellpeer

import (
	"context"
	"fmt"
	"sync"
	"time"

	"gentianstand/internal/advice"
	"gentianstand/internal/cell"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/job"
)

const (
	// quickOnlyShare is the share of the instances that carry quick calls only.
	quickOnlyShare = 0.34
	// quickConcurrency is how many quick calls may be in progress at one instance: one that
	// the adviser processes, and one that is queued for when it is done.
	quickConcurrency = 2
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
	// reserved holds the instances of reserved calls, by stage.
	reserved map[job.StageID]adviceInstance
}

// peerState counts the calls in progress at one instance. The instance is avoided until
// avoidUntil.
type peerState struct {
	calls      int
	avoidUntil time.Time
}

// adviceInstance is an instance and whether it carries quick calls only.
type adviceInstance struct {
	Instance
	quickOnly bool
}

// NewAdvicePool returns a pool over the instances of a directory. local makes calls from
// this instance, links through others. If links is nil, others are reached by peer calls
// only.
func NewAdvicePool(d *Directory, c *Clients, local advice.Adviser, links AdviceLinks) *AdvicePool {
	return &AdvicePool{directory: d, clients: c, local: local, links: links, states: map[string]*peerState{}, reserved: map[job.StageID]adviceInstance{}}
}

// Slots returns the number of free concurrency slots, that is, of calls that may start now.
func (p *AdvicePool) Slots() cell.AdviceSlots {
	all := p.instances()
	p.mu.Lock()
	defer p.mu.Unlock()
	var s cell.AdviceSlots
	now := time.Now()
	for _, i := range all {
		l := p.state(i.Name)
		switch {
		case now.Before(l.avoidUntil):
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
	all := p.instances()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	best := -1
	for i, instance := range all {
		l := p.state(instance.Name)
		if now.Before(l.avoidUntil) || (o.Slow && instance.quickOnly && !o.MayUseQuick) {
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
	p.state(target.Name).calls++
	p.reserved[o.Stage] = target
}

// preferred reports whether a call should go to a rather than b. Quick calls prefer
// instances that carry no slow calls, and every call prefers the instance with fewer calls.
func (p *AdvicePool) preferred(a, b adviceInstance, slow bool) bool {
	x, y := p.state(a.Name).calls, p.state(b.Name).calls
	if !slow && a.quickOnly != b.quickOnly {
		if a.quickOnly {
			return x < quickConcurrency
		}
		return y >= quickConcurrency && x == 0
	}
	return x < y
}

// Ask makes a reserved call.
func (p *AdvicePool) Ask(ctx context.Context, o cell.AdviceOrder) ([]advice.Ticket, error) {
	p.mu.Lock()
	target := p.reserved[o.Stage]
	delete(p.reserved, o.Stage)
	p.mu.Unlock()
	tickets, err := p.askAt(ctx, target.Instance, o)
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.state(target.Name)
	l.calls--
	if err != nil {
		l.avoidUntil = time.Now().Add(failureBackoff)
		return nil, fmt.Errorf("advice through %s: %w", target.Name, err)
	}
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

// instances returns all instances in order of their names. The first of them carry quick
// calls only.
func (p *AdvicePool) instances() []adviceInstance {
	others := p.directory.Others()
	self := p.directory.Self()
	all := make([]adviceInstance, 0, len(others)+1)
	placed := false
	for _, other := range others {
		if !placed && self.Name < other.Name {
			all = append(all, adviceInstance{Instance: self})
			placed = true
		}
		all = append(all, adviceInstance{Instance: other})
	}
	if !placed {
		all = append(all, adviceInstance{Instance: self})
	}
	quick := int(quickOnlyShare * float64(len(all)))
	for i := range quick {
		all[i].quickOnly = true
	}
	return all
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
