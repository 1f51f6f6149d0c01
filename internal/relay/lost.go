package relay

import "time"

// Lost reports whether the link to an instance is silent, or was lost a short time ago.
func (p *Pool) Lost(instance string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if l := p.links[instance]; l != nil {
		state := l.state(now)
		return state == linkSilent || state != linkReady && p.backoffs[instance].lost
	}
	return now.Before(p.backoffs[instance].until)
}
