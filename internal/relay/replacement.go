package relay

import (
	"slices"
	"time"

	"gentianstand/internal/cellpeer"
)

// replace opens a new link in place of a silent one, unless that was tried in vain a short time ago. The
// silent link is kept until the new one is open: if frames are late because this instance's network
// is saturated, they arrive before that.
func (p *Pool) replace(silent *Link, now time.Time) {
	if p.openReplacement(silent, now) || !silent.silentFor(maxSilence, now) {
		return
	}
	silent.endWithoutBackoff("silent")
}

// openReplacement opens a new link in place of a silent one, and reports whether there is one that opens. A
// link to an instance that is not listed any more is ended.
func (p *Pool) openReplacement(silent *Link, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := silent.peer.Name
	// The relay may have been replaced by a process at another address.
	place := slices.IndexFunc(p.instances, func(i cellpeer.Instance) bool { return i.Name == name })
	switch {
	case place < 0:
		silent.endWithoutBackoff("not listed")
		return false
	case p.replacements[name] != nil:
		return true
	case p.links[name] != silent || now.Before(p.backoffs[name].until):
		return false
	}
	p.replacements[name] = openLink(p.instances[place], p.dial, linkEvents{opened: p.replacementOpened, ended: p.replacementEnded}, p.log)
	return true
}

// replacementOpened puts a link that has been opened in the place of the silent one, unless that works
// again. If the silent one has never carried an answer, the relay accepts links and does not serve them.
func (p *Pool) replacementOpened(l *Link) {
	p.linkOpened(l)
	old, replaced := p.exchange(l)
	switch {
	case !replaced:
		l.endWithoutBackoff("not needed")
	case old == nil:
	case old.hasAnswered():
		old.endWithoutBackoff("silent")
	default:
		old.end("silent", nil)
	}
}

// exchange puts a replacement in the place of the old link, if there is still one, that is silent.
func (p *Pool) exchange(l *Link) (old *Link, replaced bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := l.peer.Name
	delete(p.replacements, name)
	old = p.links[name]
	if old != nil && old.state(time.Now()) == linkReady {
		return old, false
	}
	p.links[name] = l
	return old, true
}

// replacementEnded handles the end of a replacement, which may have taken the place of the silent link.
// The silent link ends if the relay's machine answers and the relay does not.
func (p *Pool) replacementEnded(l *Link) {
	p.mu.Lock()
	name := l.peer.Name
	failed := p.replacements[name] == l
	if !failed {
		p.mu.Unlock()
		p.linkEnded(l)
		return
	}
	delete(p.replacements, name)
	old := p.links[name]
	lasted := old != nil && old.wasStable()
	p.backoffs[name] = p.backoffs[name].next(lasted, time.Now())
	p.mu.Unlock()
	if old != nil && l.wasRefused() && old.state(time.Now()) == linkSilent {
		old.endWithoutBackoff("silent")
	}
}
