package cell

import (
	"testing"
	"time"

	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
)

// Guards against a second run beside one whose lease an owner before the last one went on extending: the
// last one knew it from the entry of its cordoned worker only.
func TestLeaseThatAnOwnerBeforeTheLastOneExtendsIsWaitedFor(t *testing.T) {
	for name, predecessorStopped := range map[string]bool{"last one known as stopped": true, "last one not known as stopped": false} {
		t.Run(name, func(t *testing.T) {
			one := step(1)
			one.Estimate = time.Minute
			first := newSite(t, 1, usualWorker("d"))
			first.cell.settings.PreviousOwnerStopped = true
			r := first.record(1, one)
			r.AcceptedAt = r.AcceptedAt.Add(-time.Second)
			first.cell.Add(r, true)
			first.report("d")
			first.commit()
			task := r.ID + ".0.0.0"
			start, ok := first.plan()[task]
			if !ok {
				t.Fatal("not started")
			}
			first.confirm(start)
			first.cell.SetRoster([]roster.Worker{usualWorker("d"), usualWorker("a")}, first.now)
			// d answers no poll for a moment, is cordoned, and that is stored; then the first owner loses the store.
			first.advance(10 * time.Millisecond)
			first.cell.NextPoll("d", first.now)
			first.cell.PollFailed("d", runner.ErrNoAnswer, first.now)
			first.advance(300 * time.Millisecond)
			first.report("a")
			first.plan()
			first.commit()
			if !first.cell.workers["d"].cordoned {
				t.Fatal("not cordoned")
			}
			first.report("d")

			next := func(term uint64, now time.Time, predecessor bool) *site {
				s := newSiteWith(t, Settings{Term: term, Lease: 3500 * time.Millisecond, StopGrace: 900 * time.Millisecond,
					PreviousOwnerLimit: 2500 * time.Millisecond, PredecessorStopped: predecessor})
				s.now, s.chunks = now, first.chunks
				s.cell = New(s.cell.settings, now, quietLog())
				s.cell.SetRoster([]roster.Worker{usualWorker("d"), usualWorker("a")}, now)
				s.cell.Load(r, nil)
				for _, chunk := range first.chunks {
					s.cell.LoadWorkers(chunk, now)
				}
				s.cell.WorkersLoaded()
				return s
			}
			took := first.now
			second := next(2, took, false)
			second.cell.NextPoll("d", second.now)
			second.report("a")
			second.plan()
			second.commit()

			third := next(3, took.Add(300*time.Millisecond), predecessorStopped)
			var lease time.Duration
			for third.now.Sub(took) < 12*time.Second {
				third.advance(50 * time.Millisecond)
				if third.now.Sub(took) < 1400*time.Millisecond {
					// The first owner, which has lost the store and is still confirmed, polls d.
					first.now = third.now
					first.report("d")
					first.plan()
					_, poll, _ := first.cell.NextPoll("d", first.now)
					if poll.LeaseUntil != nil {
						lease = max(lease, *poll.LeaseUntil)
					}
				}
				third.report("a")
				third.cell.NextPoll("d", third.now)
				third.cell.PollFailed("d", runner.ErrNoAnswer, third.now)
				if o, ok := third.plan()[task]; ok {
					clock := third.now.Sub(siteStart) + time.Hour
					if clock < lease {
						t.Errorf("run %d was started on %s although the lease of the first run on d lasts for another %v", o.Start.Run, o.Worker.ID, lease-clock)
					}
					return
				}
				third.commit()
			}
			t.Fatal("never restarted")
		})
	}
}
