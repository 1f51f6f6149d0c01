package cell

import (
	"time"

	"gentianstand/internal/roster"
	"gentianstand/internal/runner"
)

// clockAtStart is the time that a worker's clock shows when it starts.
const clockAtStart = time.Hour

// clock returns the time on the worker's own monotonic clock.
func (w *loadWorker) clock(now time.Time) time.Duration { return now.Sub(w.startedAt) + clockAtStart }

// restart crashes a worker and restarts it under its id after a time in which it answers no calls.
// Its roster entry follows with its first heartbeat.
func (l *load) restart(id string, down time.Duration) {
	w := l.workers[id]
	w.runs, w.ends, w.sequence = map[string]*loadRun{}, nil, 0
	w.startedAt = l.now.Add(down)
	w.downUntil = w.startedAt
	w.roster.Incarnation = runner.Incarnation(w.startedAt.UnixMilli())
}

// register has a worker write its roster entry.
func (l *load) register(id string) {
	l.cell.UpdateRoster(roster.Change{Workers: []roster.Worker{l.workers[id].roster}}, l.now)
}
