package ownership

import (
	"context"
	"slices"
	"sync"
	"time"

	"gentianstand/internal/live"
	"gentianstand/internal/membership"
)

// confirmOutage asks all electors in parallel and records whether a majority
// attests the outage.
func (k *Keeper) confirmOutage(ctx context.Context) {
	now := time.Now()
	if k.session.SinceTableAnswer(now) < k.timing.AttestAfter {
		return
	}
	k.mu.Lock()
	lists := slices.Clone(k.electors)
	k.mu.Unlock()
	if len(lists) == 0 {
		return
	}
	attested := k.askElectors(ctx, slices.Concat(lists...), func(ctx context.Context, elector live.Process) bool {
		ok, err := k.peers.AttestOutage(ctx, elector, k.id.Process)
		return err == nil && ok
	})
	for _, list := range lists {
		if !membership.Majority(list, attested) {
			return
		}
	}
	k.session.OutageConfirmed(now)
	k.log.WithField("vouched", len(attested)).Debug("outage_confirmed")
}

// askElectors calls all electors in parallel and returns those that agreed.
func (k *Keeper) askElectors(ctx context.Context, electors []live.Process, call func(context.Context, live.Process) bool) []live.Process {
	ctx, cancel := context.WithTimeout(ctx, k.timing.Poll)
	defer cancel()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var yes []live.Process
	asked := map[live.Process]bool{}
	for _, elector := range electors {
		if asked[elector] {
			continue
		}
		asked[elector] = true
		wg.Go(func() {
			if call(ctx, elector) {
				mu.Lock()
				yes = append(yes, elector)
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return yes
}

// fencePredecessors fences previous owners that may still be running.
func (k *Keeper) fencePredecessors(ctx context.Context) {
	fenced := map[live.Process]time.Time{}
	for _, held := range k.held {
		for _, p := range held.Shard.Predecessors {
			if _, done := held.Fenced[p.Process]; done || p.HandedOver {
				continue
			}
			at, tried := fenced[p.Process]
			if !tried {
				at = k.fence(ctx, p)
				fenced[p.Process] = at
			}
			if !at.IsZero() {
				held.Fenced[p.Process] = at
			}
		}
	}
}

// fence asks p's electors never to attest an outage for it again. It returns
// when a majority had promised, or the zero time.
//
// An elector whose instance has a new process counts as having promised,
// because the platform ends the old process before it replaces an instance.
// Otherwise, after a simultaneous restart of all instances, no process could be
// fenced until OutageGrace has passed.
func (k *Keeper) fence(ctx context.Context, p live.Predecessor) time.Time {
	answered := k.askElectors(ctx, p.Electors, func(ctx context.Context, elector live.Process) bool {
		return k.peers.Fence(ctx, elector, p.Process) == nil
	})
	answered = append(answered, k.replacedElectors(p.Electors)...)
	if !membership.Majority(p.Electors, answered) {
		return time.Time{}
	}
	k.log.WithField("process", p.Process.String()).Info("predecessor_fenced")
	return time.Now()
}

func (k *Keeper) replacedElectors(electors []live.Process) []live.Process {
	view := k.View()
	var replaced []live.Process
	for _, e := range electors {
		if row, ok := view.Instances[e.Instance]; ok && row.Process != e {
			replaced = append(replaced, e)
		}
	}
	return replaced
}
