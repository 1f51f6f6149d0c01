package relay

import (
	"slices"
	"time"

	"gentianstand/internal/cellpeer"
	"gentianstand/internal/runner"
)

// addDetour has a worker reached through its next relay for a while.
func (p *Pool) addDetour(w runner.Target, l *Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detours[w.ID] = detour{l.peer.Name, time.Now().Add(detourPeriod)}
}

// route returns the link through which a worker is reached now, or nil if this instance
// reaches it itself: an open one or one that will soon be, or else one that opens slowly.
// An owner whose network is full must not call all workers itself instead: that would keep
// it full.
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
		if i.Name == around.relay || now.Before(p.backoffs[i.Name].until) {
			continue
		}
		l := p.link(i)
		switch {
		case l == nil:
		case !l.slowToOpen():
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
	if l.causesBackoff() && !(l.neverOpened() && p.mostOpening()) {
		p.backoffs[name] = p.backoffs[name].next(l.wasStable(), time.Now())
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
			delete(p.backoffs, i.Name)
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
