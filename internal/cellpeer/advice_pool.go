package cellpeer

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"gentianstand/internal/advice"
	"gentianstand/internal/cell"
	"gentianstand/internal/cellpeer/cellpb"
)

const (
	// slowCall is the duration from which a call for advice counts as slow. The
	// adviser takes one call at a time for each instance, so a quick call behind
	// a slow one waits for all of it.
	slowCall = 150 * time.Millisecond
	// quickShare of the instances gets no slow calls.
	quickShare = 0.34
	// avoidPeer is how long an instance that failed to ask is passed over.
	avoidPeer = 2 * time.Second
)

// AdvicePool spreads calls to the placement adviser over all instances. Load
// pattern: one slow call takes 0.6 s and the adviser serves each instance one
// call at a time, so one instance could make less than two calls a second.
type AdvicePool struct {
	directory *Directory
	clients   *Clients
	local     advice.Adviser

	mu    sync.Mutex
	lanes map[string]*lane
}

// lane is what is under way at one instance.
type lane struct {
	backlog time.Duration
	avoid   time.Time
}

// NewAdvicePool returns a pool over the instances of a directory. local asks on
// behalf of this instance.
func NewAdvicePool(d *Directory, c *Clients, local advice.Adviser) *AdvicePool {
	return &AdvicePool{directory: d, clients: c, local: local, lanes: map[string]*lane{}}
}

// Ask has the least busy instance ask, and tries one other if that fails.
func (p *AdvicePool) Ask(ctx context.Context, o cell.AdviceOrder) ([]advice.Ticket, error) {
	cost := o.Cost.Duration(len(o.Workers))
	tickets, err := p.askOne(ctx, o, cost)
	if err != nil && ctx.Err() == nil {
		tickets, err = p.askOne(ctx, o, cost)
	}
	return tickets, err
}

func (p *AdvicePool) askOne(ctx context.Context, o cell.AdviceOrder, cost time.Duration) ([]advice.Ticket, error) {
	target := p.choose(cost, time.Now())
	tickets, err := p.askAt(ctx, target, o, cost)
	p.release(target.Name, cost, err, time.Now())
	if err != nil {
		return nil, fmt.Errorf("advice through %s: %w", target.Name, err)
	}
	return tickets, nil
}

func (p *AdvicePool) askAt(ctx context.Context, target Instance, o cell.AdviceOrder, cost time.Duration) ([]advice.Ticket, error) {
	// The backlog of the chosen lane is part of ctx's limit; a peer that died is
	// noticed sooner by this one.
	callCtx, cancel := context.WithTimeout(ctx, 2*cost+time.Second)
	defer cancel()
	if target.Name == p.directory.Self().Name {
		return p.local.Ask(callCtx, o.Stage.String(), o.Workers)
	}
	reply, err := p.clients.To(target.Address).Advise(callCtx, &cellpb.AdviseRequest{Stage: o.Stage.String(), Workers: o.Workers})
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

// choose returns the instance with the least under way and books the call.
func (p *AdvicePool) choose(cost time.Duration, now time.Time) Instance {
	all := append(p.directory.Others(), p.directory.Self())
	sort.Slice(all, func(a, b int) bool { return all[a].Name < all[b].Name })
	if quick := int(quickShare * float64(len(all))); cost >= slowCall && quick < len(all) {
		all = all[quick:]
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	best := -1
	for i, instance := range all {
		if now.Before(p.lane(instance.Name).avoid) {
			continue
		}
		if best < 0 || p.lane(instance.Name).backlog < p.lane(all[best].Name).backlog {
			best = i
		}
	}
	chosen := p.directory.Self()
	if best >= 0 {
		chosen = all[best]
	}
	p.lane(chosen.Name).backlog += cost
	return chosen
}

func (p *AdvicePool) release(name string, cost time.Duration, err error, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l := p.lane(name)
	l.backlog -= cost
	if err != nil {
		l.avoid = now.Add(avoidPeer)
	}
}

func (p *AdvicePool) lane(name string) *lane {
	l := p.lanes[name]
	if l == nil {
		l = &lane{}
		p.lanes[name] = l
	}
	return l
}
