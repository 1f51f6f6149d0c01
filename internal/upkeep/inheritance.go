package upkeep

import "time"

// Inherit adds the machines that a previous owner may have ordered. Its orders may still be carried
// out until the machine has seen the fencing token of this owner, so these machines count as down,
// and no other machine begins, until an order of this owner is confirmed for each of them.
func (t *Tracker) Inherit(machines []string) {
	for _, name := range machines {
		if p := t.machines[name]; p != nil && p.stage == waiting {
			p.stage, p.inherited = ordered, true
		}
	}
}

// observeInherited updates a machine that this owner has not ordered yet. Its worker is evacuated
// like any other before the order, because it may have got runs since the takeover.
func (p *progress) observeInherited(m Machine, now time.Time) {
	p.seenDown = p.seenDown || m.InMaintenance
	if m.Up && (p.worker != m.Worker || p.evacuatingSince.IsZero()) {
		p.worker, p.evacuatingSince = m.Worker, now
	}
}

// mayFence reports whether this owner's first order for an inherited machine may be sent. The order
// begins the maintenance if the previous owner's was not carried out.
func (t *Tracker) mayFence(p *progress, m Machine, l Load, now time.Time) bool {
	if !p.inherited || !p.orderedAt.IsZero() {
		return true
	}
	return m.InMaintenance || m.Up && t.mayBegin(p, l, now)
}

// OrderedMachines returns the machines whose maintenance has been ordered, or is about to be, and is
// not confirmed.
func (t *Tracker) OrderedMachines() []string {
	var names []string
	for _, name := range t.wave.Machines {
		if t.machines[name].stage == ordered {
			names = append(names, name)
		}
	}
	return names
}
