package relay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/advice"
	"gentianstand/internal/cellpeer"
	"gentianstand/internal/runner"
)

// Pool reaches workers through other instances. It implements runner.Client.
type Pool struct {
	directory Directory
	workers   runner.Client
	dial      dial
	log       logrus.FieldLogger

	mu sync.Mutex
	// instances are those that may be relays, as of refreshedAt.
	instances   []cellpeer.Instance
	refreshedAt time.Time
	// routes are the ranked instances of each worker.
	routes  map[string][]cellpeer.Instance
	links   map[string]*Link
	avoided map[string]avoidance
	detours map[string]detour
}

// detour is which relay a worker is not reached through for a while.
type detour struct {
	relay string
	until time.Time
}

// NewPool returns a pool over the instances of a directory. workers reaches workers from
// this instance.
func NewPool(d Directory, workers runner.Client, log logrus.FieldLogger) *Pool {
	return &Pool{directory: d, workers: workers, dial: open, log: log, routes: map[string][]cellpeer.Instance{},
		links: map[string]*Link{}, avoided: map[string]avoidance{}, detours: map[string]detour{}}
}

// Run ends silent and idle links until ctx ends, then all.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(scanPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, l := range p.allLinks() {
				l.end("this instance stops", nil)
			}
			return
		case now := <-ticker.C:
			p.scan(now)
		}
	}
}

// scan ends silent and idle links. Where most are silent, it is this instance that hears
// nothing: its own link is full or cut, and opening others would add to that.
func (p *Pool) scan(now time.Time) {
	all := p.allLinks()
	silent := slices.DeleteFunc(slices.Clone(all), func(l *Link) bool { return !l.silent(now) })
	if 2*len(silent) <= len(all) {
		for _, l := range silent {
			l.end("silent", nil)
		}
	}
	for _, l := range all {
		if l.idle(now) {
			l.endBlameless("unused")
		}
	}
}

func (p *Pool) allLinks() []*Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make([]*Link, 0, len(p.links))
	for _, l := range p.links {
		all = append(all, l)
	}
	return all
}

// Look implements runner.Client.
func (p *Pool) Look(ctx context.Context, w runner.Target, l runner.Look) (runner.Report, error) {
	got, done := p.relay(ctx, w, &call{request: request{Look: lookFrom(l)}})
	if !done {
		return p.workers.Look(ctx, w, l)
	}
	return got.report, got.err
}

// Start implements runner.Client.
func (p *Pool) Start(ctx context.Context, w runner.Target, s runner.Start) (runner.Answer, error) {
	got, done := p.relay(ctx, w, &call{request: request{Start: startFrom(s)}})
	if !done {
		return p.workers.Start(ctx, w, s)
	}
	return got.answer, got.err
}

// Stop implements runner.Client.
func (p *Pool) Stop(ctx context.Context, w runner.Target, s runner.Stop) (runner.Answer, error) {
	got, done := p.relay(ctx, w, &call{request: request{Stop: &stop{Task: s.Task, Run: s.Run, Token: s.Token}}})
	if !done {
		return p.workers.Stop(ctx, w, s)
	}
	return got.answer, got.err
}

// Pace implements runner.Client.
func (p *Pool) Pace(ctx context.Context, w runner.Target, c runner.Pace) (runner.Answer, error) {
	got, done := p.relay(ctx, w, &call{request: request{Pace: &pace{Task: c.Task, Run: c.Run, Token: c.Token, Percent: c.Percent}}})
	if !done {
		return p.workers.Pace(ctx, w, c)
	}
	return got.answer, got.err
}

// relay makes a call through a relay; done is false if this instance has to make it.
func (p *Pool) relay(ctx context.Context, w runner.Target, c *call) (got result, done bool) {
	c.worker = w
	for range paths {
		l := p.route(w, time.Now())
		if l == nil {
			return result{}, false
		}
		// Each link has its own copy: that of a lost one may still be written.
		attempt := *c
		got = l.do(ctx, &attempt)
		switch {
		case errors.Is(got.err, errNotSent):
			continue
		case errors.Is(got.err, errLinkLost) && c.Look != nil && ctx.Err() == nil:
			// A look changes nothing that a second one does not: the end of the lease
			// that it carries is the same.
			continue
		case errors.Is(got.err, runner.ErrNoAnswer):
			p.avoidFor(w, l)
		}
		return got, true
	}
	return result{}, false
}

// Ask has an instance ask the placement adviser on behalf of the owner of a term. sent is
// false if the instance takes no calls over a link, and was not asked.
func (p *Pool) Ask(ctx context.Context, i cellpeer.Instance, term uint64, stage string, workers []string) (tickets []advice.Ticket, sent bool, err error) {
	p.mu.Lock()
	avoided := time.Now().Before(p.avoided[i.Name].until)
	var l *Link
	if !avoided {
		l = p.link(i)
	}
	p.mu.Unlock()
	if l == nil {
		return nil, false, nil
	}
	got := l.do(ctx, &call{request: request{Ask: &ask{Token: term, Stage: stage}}, asked: workers})
	if errors.Is(got.err, errNotSent) {
		return nil, false, nil
	}
	return got.tickets, true, got.err
}

// Confirming returns the relays that knew of no later term at some time since.
func (p *Pool) Confirming(term uint64, since time.Time) []string {
	var names []string
	for _, l := range p.allLinks() {
		if l.confirmedSince(term, since) {
			names = append(names, l.peer.Name)
		}
	}
	return names
}

// avoidFor has a worker reached through its next relay for a while.
func (p *Pool) avoidFor(w runner.Target, l *Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detours[w.ID] = detour{l.peer.Name, time.Now().Add(detourFor)}
}

// route returns the link through which a worker is reached now, or nil if this instance
// reaches it itself: an open one or one that will soon be, or else one that opens slowly.
//
// What can go wrong: a new owner opens its links while its own link to the network is full.
// If none opens in time, and it calls all workers itself instead, over that same link, it
// stays full: 232 connections to workers in five seconds, and half of the starts.
func (p *Pool) route(w runner.Target, now time.Time) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	around, ok := p.detours[w.ID]
	if ok && !now.Before(around.until) {
		delete(p.detours, w.ID)
		around.relay = ""
	}
	var opening *Link
	for _, i := range p.ranked(w) {
		if i.Name == p.directory.Self().Name {
			break
		}
		if i.Name == around.relay || now.Before(p.avoided[i.Name].until) {
			continue
		}
		l := p.link(i)
		switch {
		case l == nil:
		case !l.opensSlowly():
			return l
		case opening == nil:
			opening = l
		}
	}
	return opening
}

func (p *Pool) ranked(w runner.Target) []cellpeer.Instance {
	ranked, known := p.routes[w.ID]
	if !known {
		ranked = Rank(w.ID, w.Zone, p.instances)
		p.routes[w.ID] = ranked
	}
	return ranked
}

// link returns the link to an instance, which may be opening yet, or nil if it takes no
// calls; p.mu is held.
func (p *Pool) link(i cellpeer.Instance) *Link {
	l := p.links[i.Name]
	if l == nil {
		l = openLink(i, p.dial, p.linkEnded, p.log)
		p.links[i.Name] = l
	}
	if !l.usable() {
		return nil
	}
	return l
}

// linkEnded passes an instance over whose link was lost.
func (p *Pool) linkEnded(l *Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := l.peer.Name
	if p.links[name] == l {
		delete(p.links, name)
	}
	if l.toBlame() && !(l.neverOpened() && p.mostOpening()) {
		p.avoided[name] = p.avoided[name].after(l.lasted(), time.Now())
	}
}

// mostOpening reports whether most links are not open yet: then it is this instance that
// cannot open any; p.mu is held.
func (p *Pool) mostOpening() bool {
	opening := 0
	for _, l := range p.links {
		if l.neverOpened() {
			opening++
		}
	}
	return opening > 0 && 2*opening >= len(p.links)
}

// refresh takes the list of instances anew once in a while, and forgets what belongs to
// those that are gone; p.mu is held.
func (p *Pool) refresh(now time.Time) {
	if now.Sub(p.refreshedAt) < refreshPeriod {
		return
	}
	p.refreshedAt = now
	list := p.relays()
	if slices.EqualFunc(list, p.instances, sameProcess) {
		return
	}
	known := map[string]cellpeer.Instance{}
	for _, i := range p.instances {
		known[i.Name] = i
	}
	for _, i := range list {
		if before, ok := known[i.Name]; ok && !sameProcess(i, before) {
			// The new process has nothing to do with the losses of the one before.
			delete(p.avoided, i.Name)
		}
	}
	p.instances = list
	clear(p.routes)
}

// relays returns the instances that may be relays: this one only where its zone has no
// other. Its own link and processor are what the others spare.
func (p *Pool) relays() []cellpeer.Instance {
	list, self := p.directory.Others(), p.directory.Self()
	if slices.ContainsFunc(list, func(i cellpeer.Instance) bool { return i.Zone == self.Zone }) {
		return list
	}
	return append(list, self)
}

func sameProcess(a, b cellpeer.Instance) bool {
	return a.Name == b.Name && a.Incarnation == b.Incarnation && a.Address == b.Address
}
