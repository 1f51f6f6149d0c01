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
	p.detours[detour{w.ID, l.peer.Name}] = time.Now().Add(detourPeriod)
}

// avoids reports whether a relay is temporarily not used for a worker; p.mu must be held.
func (p *Pool) avoids(worker, relay string, now time.Time) bool {
	d := detour{worker, relay}
	until, ok := p.detours[d]
	if ok && !now.Before(until) {
		delete(p.detours, d)
		return false
	}
	return ok
}

// route is how a worker is reached: through link, or, if that is nil, by this instance. own is set if
// this instance is to call the worker itself, and not only because it reaches no relay of the worker.
type route struct {
	link *Link
	own  bool
}

// route returns how a worker is reached. It prefers a link that works or has just started to open over
// one that is slow to open, and that over calls from this instance: an owner with a saturated network
// must not call all workers directly, because that would keep the network saturated. Calls do not
// wait for a relay that was lost, whose link is opened in the background, nor, if there is one, for links
// that are slow to open.
func (p *Pool) route(w runner.Target, now time.Time) route {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now)
	own := true
	// unreachable reports that a relay of the worker was lost.
	unreachable := false
	var slow *Link
	for _, i := range p.ranked(w) {
		if i.Name == p.directory.Self().Name {
			break
		}
		own = false
		if p.avoids(w.ID, i.Name, now) {
			continue
		}
		l, state := p.link(i, now)
		switch {
		case state == linkReady:
			return route{link: l}
		case state == linkSilent || p.backoffs[i.Name].lost:
			unreachable = true
		case state == linkOpening:
			return route{link: l}
		case state == linkSlow && slow == nil:
			slow = l
		}
	}
	if unreachable {
		return route{}
	}
	return route{link: slow, own: own}
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

// link returns the link to an instance and its state. It opens a link if there is none, unless the
// instance was lost a short time ago; p.mu must be held.
func (p *Pool) link(i cellpeer.Instance, now time.Time) (*Link, linkState) {
	l := p.links[i.Name]
	if l == nil {
		if now.Before(p.backoffs[i.Name].until) {
			return nil, linkClosed
		}
		l = openLink(i, p.dial, linkEvents{opened: p.linkOpened, ended: p.linkEnded}, p.log)
		p.links[i.Name] = l
	}
	return l, l.state(now)
}

// linkOpened makes calls wait for the next link to the relay again while it opens.
func (p *Pool) linkOpened(l *Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b, ok := p.backoffs[l.peer.Name]; ok {
		b.lost = false
		p.backoffs[l.peer.Name] = b
	}
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
	if l.causesBackoff() {
		p.backoffs[name] = p.backoffs[name].next(l.wasStable(), time.Now())
	}
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
