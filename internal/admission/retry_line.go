package admission

import (
	"time"

	"gentianstand/internal/job"
)

const (
	// minRetryAfter and maxRetryAfter bound the retry delay of a refused caller: no backlog
	// changes much within minRetryAfter, and no forecast holds beyond maxRetryAfter.
	minRetryAfter = time.Second
	maxRetryAfter = 10 * time.Second
	// minRetrySpacing separates callers of small jobs, whose room is less than the cost of a call.
	minRetrySpacing = 20 * time.Millisecond
	// maxRefusedJobs bounds the memory of refused jobs; an instance refuses fewer in
	// maxRetryAfter.
	maxRefusedJobs = 4096
	// refusedFor is how long a refused job is known. Callers come back sooner.
	refusedFor = 2 * maxRetryAfter
)

// lineKey identifies the jobs that compete for the same room.
type lineKey struct {
	service, workspace string
	priority           int
}

// refusal is a job that was refused and may return.
type refusal struct {
	first, due time.Time
}

// retryLine spreads the times at which refused callers return, so that each finds room. It knows
// the jobs that this instance refused.
type retryLine struct {
	next    map[lineKey]time.Time
	refused map[string]refusal
}

func newRetryLine() retryLine {
	return retryLine{next: map[lineKey]time.Time{}, refused: map[string]refusal{}}
}

func keyOf(r *job.Record) lineKey { return lineKey{r.Service, r.Workspace, r.Priority} }

// waited returns how long ago a job was refused first, and whether it was.
func (l *retryLine) waited(r *job.Record, now time.Time) (time.Duration, bool) {
	earlier, ok := l.refused[r.ID]
	return now.Sub(earlier.first), ok
}

// admitted forgets a job that was accepted after a refusal.
func (l *retryLine) admitted(r *job.Record) { delete(l.refused, r.ID) }

// add records a refusal and returns the retry delay. wait is how long the backlog takes: a job that
// returns earlier finds that its own time has run as far as the backlog. spacing is how long all workers need for the jobs like it that are
// refused at the same time. A job that has been refused before does not queue up again.
func (l *retryLine) add(r *job.Record, wait, spacing time.Duration, now time.Time) time.Duration {
	waited, returning := l.waited(r, now)
	if !returning {
		waited = 0
	}
	longest := longestDelay(r, waited)
	delay := min(max(wait, minRetryAfter), longest*3/4)
	delay = max(delay, minRetryAfter)
	if !returning {
		delay = l.queueUp(keyOf(r), delay, longest, max(spacing, minRetrySpacing), now)
	}
	l.remember(r, now.Add(-waited), now.Add(delay), now)
	return delay
}

// queueUp returns the next free delay between shortest and longest. Beyond longest, the line begins
// again at shortest: an even spread is the best that is left.
func (l *retryLine) queueUp(key lineKey, shortest, longest, spacing time.Duration, now time.Time) time.Duration {
	delay := max(shortest, l.next[key].Sub(now))
	if delay > longest {
		delay = shortest
	}
	l.next[key] = now.Add(delay + spacing)
	return delay
}

// longestDelay returns the longest delay after which a job can still be of value.
func longestDelay(r *job.Record, waited time.Duration) time.Duration {
	left := lateBound*r.Objective() - r.CriticalPath() - waited
	return min(max(left, minRetryAfter), maxRetryAfter)
}

func (l *retryLine) remember(r *job.Record, first, due, now time.Time) {
	if len(l.refused) >= maxRefusedJobs {
		l.forget(now)
	}
	l.refused[r.ID] = refusal{first: first, due: due}
}

// forget drops the jobs that did not return, or all if that is not enough.
func (l *retryLine) forget(now time.Time) {
	for id, old := range l.refused {
		if now.Sub(old.due) > refusedFor {
			delete(l.refused, id)
		}
	}
	if len(l.refused) >= maxRefusedJobs {
		clear(l.refused)
	}
	for key, next := range l.next {
		if next.Before(now) {
			delete(l.next, key)
		}
	}
}
