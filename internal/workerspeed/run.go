package workerspeed

import (
	"math"
	"time"
)

const (
	// minPercent and minElapsed are the progress and the time from which a run's duration is
	// projected. Progress is reported in whole percents, so that the error at 5% is a fifth.
	minPercent = 5
	minElapsed = 400 * time.Millisecond
	// progressShare is the share of a run that is compared with siblings before the run ends.
	progressShare = 0.5
	// segmentPercent and segmentTime are the least progress and time over which a run's pace is
	// measured.
	segmentPercent = 5
	segmentTime    = 400 * time.Millisecond
	// paceChange is the least change of pace of a run that counts, as a logarithm (2 times).
	paceChange = 0.7
	// paceInformation is the number of runs as which a change of pace counts. It is more reliable
	// than a comparison with siblings, as it does not depend on the length of the task.
	paceInformation = 2
	// maxPaceChanges bounds how often a run is counted, as the pace of some tasks is uneven.
	maxPaceChanges = 2
)

// Run is what is known of a run's duration. The zero value is a run that is not compared with others,
// because it began from a checkpoint or was not observed from its start.
type Run struct {
	startAt time.Time
	sibling *sibling
	// typical is the logarithm of its projected or actual duration on a typical worker.
	typical float64
	// sampled is the share of the run that was compared with siblings.
	sampled float64
	// The pace is measured from these values on.
	segmentPercent int
	segmentAt      time.Time
	// pace is the logarithm of the time per percent in the first segment, and level that of
	// its worker's speed then.
	pace, level float64
	paced       bool
	paceChanges int
}

// Started records the start of a run without a checkpoint.
func (m *Model) Started(r *Run, t Task, now time.Time) {
	r.startAt, r.segmentAt = now, now
	r.sibling = t.Siblings.add(t.Worker, now)
}

// Progressed records the progress of a run.
func (m *Model) Progressed(r *Run, t Task, percent int, now time.Time) {
	m.measurePace(r, t, percent, now)
	elapsed := now.Sub(r.startAt)
	if r.startAt.IsZero() || r.sampled > 0 || percent < minPercent || percent >= 100 || elapsed < minElapsed {
		return
	}
	m.record(r, t, elapsed*100/time.Duration(percent), progressShare, now)
}

// Ended records the duration of a run that succeeded, if it was observed from its start.
func (m *Model) Ended(r *Run, t Task, now time.Time) {
	if r.startAt.IsZero() {
		return
	}
	m.record(r, t, now.Sub(r.startAt), 1-r.sampled, now)
	q := m.queue(t.Queue)
	q.add(r.typical, t.Estimate, q.isLong(r.typical, t.Estimate) && !m.Suspect(t.Worker))
}

// Dropped must be called when a run has ended in any way. A run that was stopped or lost is not one that goes on
// for longer than its siblings.
func (r *Run) Dropped() {
	if r.sibling != nil && !r.sibling.known {
		r.sibling.dropped = true
	}
}

// HasLongTasks reports whether some tasks of a queue take much longer than others on any worker.
func (m *Model) HasLongTasks(queue string) bool {
	q := m.queues[queue]
	return q != nil && q.hasLongTasks()
}

func (m *Model) queue(name string) *queueLevel {
	q := m.queues[name]
	if q == nil {
		q = &queueLevel{}
		m.queues[name] = q
	}
	return q
}

// record records a run's duration and compares it, and others that have waited for that, with its
// siblings.
func (m *Model) record(r *Run, t Task, took time.Duration, share float64, now time.Time) {
	duration := logOf(took)
	r.typical = duration - math.Log(m.Factor(t.Worker, t.Kind))
	r.sampled += share
	s := t.Siblings
	if r.sibling != nil {
		r.sibling.known, r.sibling.typical = true, r.typical
	}
	s.unrated = append(s.unrated, pendingSample{t, duration, share})
	kept := s.unrated[:0]
	for _, sample := range s.unrated {
		if !m.rate(sample, now) {
			kept = append(kept, sample)
		}
	}
	s.unrated = kept[max(0, len(kept)-maxSiblings):]
}

// rate compares a run with its siblings and reports false if too few of them are known yet.
func (m *Model) rate(sample pendingSample, now time.Time) bool {
	t := sample.task
	median, runs, ok := t.Siblings.median(t.Worker, now)
	if !ok {
		return false
	}
	q := m.queue(t.Queue)
	expected, siblings := median, medianEfficiency*float64(runs)
	if q.runs > 0 {
		prior := q.priorRuns(m.noise.deviation())
		expected = (prior*q.expected(t.Estimate) + siblings*median) / (prior + siblings)
		siblings += prior
	}
	if siblings == 0 {
		return true
	}
	information := t.Siblings.information(t.Worker, sample.share, siblings)
	if information > 0 {
		m.observe(t.Worker, t.Kind, sample.duration-expected, information)
	}
	return true
}

// measurePace compares the pace of a run with that at its beginning. A change is that of its worker,
// whether the task is long or short.
func (m *Model) measurePace(r *Run, t Task, percent int, now time.Time) {
	if r.segmentAt.IsZero() {
		r.segmentPercent, r.segmentAt = percent, now
		return
	}
	progress, took := percent-r.segmentPercent, now.Sub(r.segmentAt)
	if progress < 1 || took < segmentTime || progress < segmentPercent && !r.clearlySlower(progress, took) {
		return
	}
	pace := logOf(took) - math.Log(float64(progress))
	r.segmentPercent, r.segmentAt = percent, now
	if !r.paced {
		r.paced, r.pace, r.level = true, pace, m.worker(t.Worker, t.Kind).level()
		return
	}
	if math.Abs(pace-r.pace) < paceChange || r.paceChanges >= maxPaceChanges {
		return
	}
	r.paceChanges++
	m.observe(t.Worker, t.Kind, r.level+pace-r.pace, paceInformation)
}

// clearlySlower reports whether a segment is too short to be measured exactly, but its pace is slower
// than before by more than the error of a percent.
func (r *Run) clearlySlower(progress int, took time.Duration) bool {
	return r.paced && logOf(took)-math.Log(float64(progress+1)) > r.pace+paceChange
}
