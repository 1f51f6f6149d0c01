package relay

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/advice"
	"gentianstand/internal/cellpeer"
	"gentianstand/internal/runner"
)

// Pool reaches workers through other instances. It implements runner.Client and is safe for
// concurrent use.
type Pool struct {
	directory Directory
	workers   runner.Client
	dial      dialFunc
	log       logrus.FieldLogger

	mu sync.Mutex
	// instances are the instances that can act as relays, as of refreshedAt.
	instances   []cellpeer.Instance
	refreshedAt time.Time
	// routes holds the ranked relays of each worker.
	routes map[string][]cellpeer.Instance
	links  map[string]*Link
	// backoffs holds, by instance, the relays that are temporarily unused, and detours, by
	// worker, the relay that is temporarily unused for this worker.
	backoffs map[string]backoff
	detours  map[string]detour
}

// detour is a relay through which one worker is temporarily not reached.
type detour struct {
	relay string
	until time.Time
}

// NewPool returns a pool that relays through the instances of a directory. workers reaches
// workers directly from this instance.
func NewPool(d Directory, workers runner.Client, log logrus.FieldLogger) *Pool {
	return &Pool{directory: d, workers: workers, dial: dialRelay, log: log, routes: map[string][]cellpeer.Instance{},
		links: map[string]*Link{}, backoffs: map[string]backoff{}, detours: map[string]detour{}}
}

// Run ends unresponsive and idle links until ctx ends, and then all links.
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

// scan ends unresponsive and idle links. If more than half of the links are unresponsive,
// the cause is this instance's own network, saturated or cut; links are kept then, because
// opening new ones would add load.
func (p *Pool) scan(now time.Time) {
	all := p.allLinks()
	unresponsive := slices.DeleteFunc(slices.Clone(all), func(l *Link) bool { return !l.unresponsive(now) })
	for _, l := range unresponsive {
		l.logSilence(len(unresponsive), len(all))
	}
	if 2*len(unresponsive) <= len(all) {
		for _, l := range unresponsive {
			l.end("silent", nil)
		}
	}
	for _, l := range all {
		if l.idle(now) {
			l.endWithoutBackoff("unused")
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

// Poll implements runner.Client.
func (p *Pool) Poll(ctx context.Context, w runner.Target, l runner.Poll) (runner.Report, error) {
	got, done := p.viaRelay(ctx, w, &call{request: request{Poll: pollFrom(l)}})
	if !done {
		return p.workers.Poll(ctx, w, l)
	}
	return got.report, got.err
}

// Start implements runner.Client.
func (p *Pool) Start(ctx context.Context, w runner.Target, s runner.Start) (runner.Answer, error) {
	got, done := p.viaRelay(ctx, w, &call{request: request{Start: startFrom(s)}})
	if !done {
		return p.workers.Start(ctx, w, s)
	}
	return got.answer, got.err
}

// Stop implements runner.Client.
func (p *Pool) Stop(ctx context.Context, w runner.Target, s runner.Stop) (runner.Answer, error) {
	got, done := p.viaRelay(ctx, w, &call{request: request{Stop: &stop{Task: s.Task, Run: s.Run, Token: s.Token}}})
	if !done {
		return p.workers.Stop(ctx, w, s)
	}
	return got.answer, got.err
}

// Throttle implements runner.Client.
func (p *Pool) Throttle(ctx context.Context, w runner.Target, c runner.Throttle) (runner.Answer, error) {
	got, done := p.viaRelay(ctx, w, &call{request: request{Throttle: &throttle{Task: c.Task, Run: c.Run, Token: c.Token, Percent: c.Percent}}})
	if !done {
		return p.workers.Throttle(ctx, w, c)
	}
	return got.answer, got.err
}

// viaRelay makes a call through a relay. done is false if this instance has to make the
// call itself.
func (p *Pool) viaRelay(ctx context.Context, w runner.Target, c *call) (got result, done bool) {
	c.worker = w
	for range maxRelayAttempts {
		l := p.route(w, time.Now())
		if l == nil {
			return result{}, false
		}
		// Each link gets its own copy: a lost link may still be writing its copy.
		attempt := *c
		got = l.do(ctx, &attempt)
		switch {
		case errors.Is(got.err, errNotSent):
			continue
		case errors.Is(got.err, errLinkLost) && c.Poll != nil && ctx.Err() == nil:
			// A poll is idempotent: a repeated one carries the same lease end, so it
			// can be sent through another relay.
			continue
		case errors.Is(got.err, runner.ErrNoAnswer):
			p.addDetour(w, l)
			got.err = fmt.Errorf("%w (through %s)", got.err, l.peer.Name)
		}
		return got, true
	}
	return result{}, false
}

// Ask requests tickets from the placement adviser through another instance, for the owner
// of a term. sent is false if that instance accepts no calls over a link and was not asked.
func (p *Pool) Ask(ctx context.Context, i cellpeer.Instance, term uint64, stage string, workers []string) (tickets []advice.Ticket, sent bool, err error) {
	p.mu.Lock()
	avoided := time.Now().Before(p.backoffs[i.Name].until)
	var l *Link
	if !avoided {
		l = p.link(i)
	}
	p.mu.Unlock()
	if l == nil {
		return nil, false, nil
	}
	got := l.do(ctx, &call{request: request{Advice: &adviceRequest{Token: term, Stage: stage}}, workerIDs: workers})
	if errors.Is(got.err, errNotSent) {
		return nil, false, nil
	}
	return got.tickets, true, got.err
}

// ConfirmedBy returns the relays that have accepted a request of the term that was
// made at or after since. They knew of no later term at that time.
func (p *Pool) ConfirmedBy(term uint64, since time.Time) []string {
	var names []string
	for _, l := range p.allLinks() {
		if l.confirmedSince(term, since) {
			names = append(names, l.peer.Name)
		}
	}
	return names
}
