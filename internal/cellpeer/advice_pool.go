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
	// quickShare of the instances carries quick calls only.
	quickShare = 0.34
	// quickDepth is how many quick calls may be under way at one instance: one
	// that the adviser works on, and one that is there when it is done.
	quickDepth = 2
	// avoidPeer is how long an instance that failed to ask is passed over.
	avoidPeer = 2 * time.Second
)

// AdvicePool spreads calls to the placement adviser over all instances. Load
// pattern: a slow call takes most of a second and the adviser serves each instance one
// call at a time, so one instance could make few of them.
type AdvicePool struct {
	directory *Directory
	clients   *Clients
	local     advice.Adviser
	links     AdviceLinks

	mu    sync.Mutex
	lanes map[string]*lane
	// chosen are the lanes of reserved calls, by stage.
	chosen map[job.StageID]laneInstance
}

// lane is what is under way at one instance.
type lane struct {
	calls int
	avoid time.Time
}

// laneInstance is an instance and whether it carries quick calls only.
type laneInstance struct {
	Instance
	quickOnly bool
}

// NewAdvicePool returns a pool over the instances of a directory. local asks on
// behalf of this instance, links through others; nil is none, which leaves calls.
func NewAdvicePool(d *Directory, c *Clients, local advice.Adviser, links AdviceLinks) *AdvicePool {
	return &AdvicePool{directory: d, clients: c, local: local, links: links, lanes: map[string]*lane{}, chosen: map[job.StageID]laneInstance{}}
}

// Slots returns how many calls may begin now.
func (p *AdvicePool) Slots() cell.AdviceSlots {
	all := p.instances()
	p.mu.Lock()
	defer p.mu.Unlock()
	var s cell.AdviceSlots
	now := time.Now()
	for _, i := range all {
		l := p.lane(i.Name)
		switch {
		case now.Before(l.avoid):
		case i.quickOnly:
			s.Quick += max(0, quickDepth-l.calls)
		case l.calls == 0:
			s.Any++
		}
	}
	return s
}

// Reserve books a lane for an order.
func (p *AdvicePool) Reserve(o cell.AdviceOrder) {
	all := p.instances()
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	best := -1
	for i, instance := range all {
		l := p.lane(instance.Name)
		if now.Before(l.avoid) || (o.Slow && instance.quickOnly) {
			continue
		}
		if best < 0 || p.better(instance, all[best], o.Slow) {
			best = i
		}
	}
	target := laneInstance{Instance: p.directory.Self()}
	if best >= 0 {
		target = all[best]
	}
	p.lane(target.Name).calls++
	p.chosen[o.Stage] = target
}

// better reports whether a call should go to a rather than b: quick calls
// prefer lanes without slow ones, and every call the emptier lane.
func (p *AdvicePool) better(a, b laneInstance, slow bool) bool {
	x, y := p.lane(a.Name).calls, p.lane(b.Name).calls
	if !slow && a.quickOnly != b.quickOnly {
		if a.quickOnly {
			return x < quickDepth
		}
		return y >= quickDepth && x == 0
	}
	return x < y
}

// Ask makes a reserved call.
func (p *AdvicePool) Ask(ctx context.Context, o cell.AdviceOrder) ([]advice.Ticket, error) {
	p.mu.Lock()
	target := p.chosen[o.Stage]
	delete(p.chosen, o.Stage)
	p.mu.Unlock()
	tickets, err := p.askAt(ctx, target.Instance, o)
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lane(target.Name)
	l.calls--
	if err != nil {
		l.avoid = time.Now().Add(avoidPeer)
		return nil, fmt.Errorf("advice through %s: %w", target.Name, err)
	}
	return tickets, nil
}

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
		p.clients.Distrust(target.Address)
		return nil, err
	}
	tickets := make([]advice.Ticket, 0, len(reply.Tickets))
	for _, t := range reply.Tickets {
		tickets = append(tickets, advice.Ticket{Worker: t.Worker, Text: t.Text})
	}
	return tickets, nil
}

// instances returns all instances in order of their names, with their lanes.
func (p *AdvicePool) instances() []laneInstance {
	others := p.directory.Others()
	self := p.directory.Self()
	all := make([]laneInstance, 0, len(others)+1)
	placed := false
	for _, other := range others {
		if !placed && self.Name < other.Name {
			all = append(all, laneInstance{Instance: self})
			placed = true
		}
		all = append(all, laneInstance{Instance: other})
	}
	if !placed {
		all = append(all, laneInstance{Instance: self})
	}
	quick := int(quickShare * float64(len(all)))
	for i := range quick {
		all[i].quickOnly = true
	}
	return all
}

func (p *AdvicePool) lane(name string) *lane {
	l := p.lanes[name]
	if l == nil {
		l = &lane{}
		p.lanes[name] = l
	}
	return l
}
