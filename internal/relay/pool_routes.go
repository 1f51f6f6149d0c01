package relay

import (
	"slices"
	"time"

	"gentianstand/internal/cellpeer"
	"gentianstand/internal/runner"
)

// addDetour makes calls to a worker skip the relay of a link for detourPeriod.
func (p *Pool) addDetour(w runner.Target, l *Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detours[w.ID] = detour{l.peer.Name, time.Now().Add(detourPeriod)}
}

// route returns the link through which a worker is reached, or nil if this instance reaches
// it directly. It prefers a link that is open or has just started to open over one that is
// slow to open. An owner with a saturated network must not call all workers directly
// instead, because that would keep the network saturated.
func (p *Pool) route(w runner.Target, now time.Time) *Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	avoid, ok := p.detours[w.ID]
	if ok && !now.Before(avoid.until) {
		delete(p.detours, w.ID)
		avoid.relay = ""
	}
	var opening *Link
	for _, i := range p.ranked(w) {
		if i.Name == p.directory.Self().Name {
			break
		}
		if i.Name == avoid.relay || now.Before(p.backoffs[i.Name].until) {
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

// ranked returns the worker's relays, best first; p.mu must be held.
func (p *Pool) ranked(w runner.Target) []cellpeer.Instance {
	ranked, known := p.routes[w.ID]
	if !known {
		ranked = Rank(w.ID, w.Zone, p.instances)
		p.routes[w.ID] = ranked
	}
	return ranked
}

// link returns the link to an instance, which may still be opening, or nil if it accepts no
// calls; p.mu must be held.
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

// linkEnded removes a link that has ended, and starts a backoff for its relay if the relay
// may be at fault.
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

// mostOpening reports whether at least half of the links are not open yet. In that case the
// fault is likely to be this instance's own; p.mu must be held.
func (p *Pool) mostOpening() bool {
	opening := 0
	for _, l := range p.links {
		if l.neverOpened() {
			opening++
		}
	}
	return opening > 0 && 2*opening >= len(p.links)
}

// refresh reloads the list of instances every refreshPeriod, and drops routes and backoffs
// that are out of date; p.mu must be held.
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
			// A new process starts without the losses of its predecessor.
			delete(p.backoffs, i.Name)
		}
	}
	p.instances = list
	clear(p.routes)
}

// relays returns the instances that can act as relays. This instance is among them only if
// its zone has no other, because relaying exists to save its network and CPU.
func (p *Pool) relays() []cellpeer.Instance {
	list, self := p.directory.Others(), p.directory.Self()
	if slices.ContainsFunc(list, func(i cellpeer.Instance) bool { return i.Zone == self.Zone }) {
		return list
	}
	return append(list, self)
}

// sameProcess reports whether two entries describe the same process at the same address.
func sameProcess(a, b cellpeer.Instance) bool {
	return a.Name == b.Name && a.Incarnation == b.Incarnation && a.Address == b.Address
}
