package relay

import (
	"context"
	"errors"
	"fmt"
	"maps"
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
	// replacements holds, by instance, the links that are being opened in place of silent ones.
	replacements map[string]*Link
	// backoffs holds, by instance, the relays to which no link is opened at present, and detours
	// until when one is not used for a worker.
	backoffs map[string]backoff
	detours  map[detour]time.Time
	// direct limits the calls that this instance makes because it reaches no relay.
	direct *directCalls
}

// detour names a relay through which one worker is temporarily not reached.
type detour struct{ worker, relay string }

// NewPool returns a pool that relays through the instances of a directory. workers reaches
// workers directly from this instance.
func NewPool(d Directory, workers runner.Client, log logrus.FieldLogger) *Pool {
	return &Pool{directory: d, workers: workers, dial: dialRelay, log: log, routes: map[string][]cellpeer.Instance{},
		links: map[string]*Link{}, replacements: map[string]*Link{}, backoffs: map[string]backoff{}, detours: map[detour]time.Time{}, direct: newDirectCalls()}
}

// Run replaces unresponsive links and ends idle ones until ctx ends, and then ends all links.
func (p *Pool) Run(ctx context.Context) {
	ticker := time.NewTicker(scanPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			p.stop()
			return
		case now := <-ticker.C:
			p.scan(now)
		}
	}
}

// scan replaces silent links and ends idle ones.
func (p *Pool) scan(now time.Time) {
	all := p.allLinks()
	silent := slices.DeleteFunc(slices.Clone(all), func(l *Link) bool { return l.state(now) != linkSilent })
	for _, l := range all {
		switch state := l.state(now); {
		case l.idle(now):
			l.endWithoutBackoff("unused")
		case state == linkSilent:
			l.logSilence(len(silent), len(all))
			p.replace(l, now)
		case state == linkReady:
			l.endSilence()
		}
	}
}

// stop ends all links.
func (p *Pool) stop() {
	p.mu.Lock()
	all := slices.AppendSeq(slices.Collect(maps.Values(p.links)), maps.Values(p.replacements))
	p.mu.Unlock()
	for _, l := range all {
		l.end("this instance stops", nil)
	}
}

func (p *Pool) allLinks() []*Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Values(p.links))
}

// Poll implements runner.Client.
func (p *Pool) Poll(ctx context.Context, w runner.Target, l runner.Poll) (runner.Report, error) {
	c := &call{request: pollRequest(l)}
	got := p.reach(ctx, w, c, func(proven bool) result {
		own := c.runnerPoll()
		if !proven {
			own.Wait = 0
		}
		report, err := p.workers.Poll(ctx, w, own)
		return result{report: report, err: err}
	})
	return got.report, got.err
}

// Start implements runner.Client.
func (p *Pool) Start(ctx context.Context, w runner.Target, s runner.Start) (runner.Answer, error) {
	got := p.reach(ctx, w, &call{request: request{Start: startFrom(s)}}, func(bool) result {
		return answerOf(p.workers.Start(ctx, w, s))
	})
	return got.answer, got.err
}

// Stop implements runner.Client.
func (p *Pool) Stop(ctx context.Context, w runner.Target, s runner.Stop) (runner.Answer, error) {
	got := p.reach(ctx, w, &call{request: request{Stop: &stop{Task: s.Task, Run: s.Run, Token: s.Token}}}, func(bool) result {
		return answerOf(p.workers.Stop(ctx, w, s))
	})
	return got.answer, got.err
}

// Throttle implements runner.Client.
func (p *Pool) Throttle(ctx context.Context, w runner.Target, c runner.Throttle) (runner.Answer, error) {
	got := p.reach(ctx, w, &call{request: request{Throttle: &throttle{Task: c.Task, Run: c.Run, Token: c.Token, Percent: c.Percent}}}, func(bool) result {
		return answerOf(p.workers.Throttle(ctx, w, c))
	})
	return got.answer, got.err
}

func answerOf(a runner.Answer, err error) result { return result{answer: a, err: err} }

// reach makes a call through a relay, or with direct from this instance. direct is told whether
// calls from this instance are known to be answered.
func (p *Pool) reach(ctx context.Context, w runner.Target, c *call, direct func(proven bool) result) result {
	c.worker = w
	for attempts := 0; ; {
		r := p.route(w, time.Now())
		if r.link != nil && attempts < maxRelayAttempts {
			attempts++
			if got, done := p.callThrough(ctx, r.link, c); done {
				return got
			}
			continue
		}
		if r.own {
			return direct(true)
		}
		proven, admitted := p.direct.begin(time.Now())
		if admitted {
			got := direct(proven)
			p.direct.end(got.err, time.Now())
			return got
		}
		if err := p.direct.await(ctx); err != nil {
			return result{err: fmt.Errorf("%w: no relay can be reached: %w", &runner.Refusal{Reason: runner.Unhealthy}, err)}
		}
	}
}

// callThrough makes a call through a link. done is false if the call can be made on another path.
func (p *Pool) callThrough(ctx context.Context, l *Link, c *call) (got result, done bool) {
	// Each link gets its own copy: a lost link may still be writing its copy.
	attempt := *c
	got = l.do(ctx, &attempt)
	switch {
	case errors.Is(got.err, errNotSent):
		return got, false
	case errors.Is(got.err, errLinkLost) && c.Poll != nil && ctx.Err() == nil:
		// A poll is idempotent: a repeated one carries the same lease end, so it
		// can be sent through another relay. The time that is left may be too short for its wait,
		// and the relay's connections to the worker may be lost like the link. The lost link may
		// still be writing the first poll.
		repeated := *c.Poll
		repeated.WaitMillis = 0
		c.Poll, c.Reconnect = &repeated, true
		return got, false
	case errors.Is(got.err, runner.ErrNoAnswer):
		p.addDetour(c.worker, l)
		got.err = fmt.Errorf("%w (through %s)", got.err, l.peer.Name)
	}
	return got, true
}

// Ask requests tickets from the placement adviser through another instance, for the owner
// of a term. sent is false if that instance accepts no calls over a link and was not asked.
func (p *Pool) Ask(ctx context.Context, i cellpeer.Instance, term uint64, stage string, workers []string) (tickets []advice.Ticket, sent bool, err error) {
	p.mu.Lock()
	l, state := p.link(i, time.Now())
	p.mu.Unlock()
	if state != linkReady && state != linkOpening {
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
