package membership

import (
	"time"

	"gentianstand/internal/live"
)

// Observer determines from successive reads of the table which processes are
// alive. It is not safe for concurrent use.
type Observer struct {
	timing   Timing
	lastRead time.Time
	seen     map[string]observation
}

type observation struct {
	version uint64
	process live.Process
	since   time.Time
	// renewed is true if the version was seen to change.
	renewed bool
}

// NewObserver returns an Observer that has read nothing yet.
func NewObserver(timing Timing) *Observer {
	return &Observer{timing: timing, seen: map[string]observation{}}
}

// Observe records a read of the table that began at now.
//
// While the table does not answer nobody can renew, so that time does not count
// against a row. Otherwise all instances would take over from each other as
// soon as the table is available again. Each row then gets enough time for at
// least 2 renewals.
func (o *Observer) Observe(view live.View, now time.Time) {
	pause := o.outageBefore(now)
	o.lastRead = now
	next := make(map[string]observation, len(view.Instances))
	for id, inst := range view.Instances {
		old, known := o.seen[id]
		if !known || old.version != inst.Version {
			renewed := known && old.process == inst.Process
			old = observation{version: inst.Version, process: inst.Process, since: now, renewed: renewed}
		} else if pause > 0 {
			old = o.extend(old, pause, now)
		}
		next[id] = old
	}
	o.seen = next
}

// outageBefore returns how long the table was unavailable before this read.
func (o *Observer) outageBefore(now time.Time) time.Duration {
	if o.lastRead.IsZero() || now.Sub(o.lastRead) <= 2*o.timing.Poll {
		return 0
	}
	return now.Sub(o.lastRead) - o.timing.Poll
}

func (o *Observer) extend(old observation, pause time.Duration, now time.Time) observation {
	old.since = old.since.Add(pause)
	if earliest := now.Add(2*o.timing.Poll - o.timing.SessionTTL); old.since.Before(earliest) {
		old.since = earliest
	}
	if pause >= o.timing.SessionTTL {
		old.renewed = false
	}
	return old
}

// Alive reports whether process p held its session at the last read. A process
// is not alive if its instance has a new incarnation.
func (o *Observer) Alive(p live.Process) bool {
	seen, ok := o.seen[p.Instance]
	return ok && seen.process == p && o.lastRead.Sub(seen.since) < o.timing.SessionTTL
}

// Dead reports whether p's row has been read unchanged for at least d.
func (o *Observer) Dead(p live.Process, d time.Duration) bool {
	seen, ok := o.seen[p.Instance]
	return ok && seen.process == p && o.lastRead.Sub(seen.since) >= d
}

// Renewing reports whether process p is alive and was seen to renew its session
// since the table was last unavailable. After an outage a frozen process counts
// as alive for a while, but not as renewing.
func (o *Observer) Renewing(p live.Process) bool { return o.Alive(p) && o.seen[p.Instance].renewed }
