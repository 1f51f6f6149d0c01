// Package workerspeed estimates how fast each worker runs tasks. It performs no I/O.
//
// The speed of a worker is the mean logarithm of the duration of its runs relative to what the
// same runs take on a typical worker. What a run takes there is estimated from its siblings,
// which are the runs of the same stage on other workers, and from the usual duration in its
// queue. A task that is long on any worker counts little: single samples are clipped.
package workerspeed

import (
	"math"
	"slices"
)

const (
	// maxDeviation clips the distance of one sample from the estimate of its worker, as a
	// logarithm. A task that takes seven times as long (1.9) counts like one that takes 4.5
	// times as long.
	maxDeviation = 1.5
	// ownScore is the distance of a worker from others of its kind, in standard errors, from which
	// the worker is rated by its own runs although workers of one kind are alike otherwise.
	// It stays so until the distance is below ownScoreEnd. At 5, none of 350 equal workers differs
	// within 60 runs each in the tests. unevenKindScore applies if the kind is known to differ from others, so
	// that a fast worker of a slow kind is soon rated by its own runs.
	ownScore, ownScoreEnd = 5, 2.5
	unevenKindScore       = 3.5
	// ownPriorInformation is the number of runs as which the estimate of a worker's kind counts
	// for such a worker.
	ownPriorInformation = 1
	// minCentreInformation is the number of runs from which a worker counts for the typical
	// worker, and centreStep is the least move of that, so that the factors of all workers do
	// not change all the time.
	minCentreInformation = 1
	centreStep           = 0.1
	// minCentrePeriod is the number of samples after which the typical worker is determined
	// anew. With many workers it is half their number, because each of them is considered.
	minCentrePeriod = 64
)

// Model holds the estimated speed of each worker. It is not safe for concurrent use.
type Model struct {
	workers map[string]*estimate
	kinds   map[string]*kindEstimate
	queues  map[string]*queueLevel
	noise   noise
	spread  spread
	// centre is the logarithm of the typical worker's speed on the scale of the estimates.
	centre float64
	// sinceCentre counts the samples since the centre was determined.
	sinceCentre int
	changes     uint64
	distinct    int
}

// New returns a model without any samples.
func New() *Model {
	return &Model{workers: map[string]*estimate{}, kinds: map[string]*kindEstimate{}, queues: map[string]*queueLevel{}, noise: newNoise()}
}

// Factor returns the duration of runs on a worker relative to the same runs on a typical
// worker. It is 1 if the worker is typical or nothing is known of it, and 2 if its runs take
// twice as long. kind is the worker's kind label.
func (m *Model) Factor(worker, kind string) float64 {
	if e := m.workers[worker]; e != nil && e.kind == m.kinds[kind] {
		return e.published.factor()
	}
	if k := m.kinds[kind]; k != nil {
		return k.published.factor()
	}
	return 1
}

// Changes counts the changes of factors. A factor stays valid as long as the count does.
func (m *Model) Changes() uint64 { return m.changes }

// Uniform reports whether every worker has factor 1.
func (m *Model) Uniform() bool { return m.distinct == 0 }

// Suspect reports whether the last few runs on a worker were much slower than its factor says.
func (m *Model) Suspect(worker string) bool {
	e := m.workers[worker]
	return e != nil && (e.suspect() || e.level()-m.centre-e.published.value > suspectLevel && e.score(m.noise.deviation()) > suspectScore)
}

// Forget discards what is known of a worker, because it is gone or a new incarnation may differ.
func (m *Model) Forget(worker string) {
	e := m.workers[worker]
	if e == nil {
		return
	}
	m.spread.remove(e)
	if e.published.value != e.kind.published.value {
		m.changes++
	}
	m.setPublished(&e.published, 0)
	delete(m.workers, worker)
}

// observe adds a sample of a worker: the logarithm of the duration of a run relative to the same
// run on a typical worker. information is the number of independent runs as which it counts.
func (m *Model) observe(worker, kind string, sample, information float64) {
	e := m.worker(worker, kind)
	level := e.earlierLevel()
	deviation := clamp(sample-level, -maxDeviation, maxDeviation)
	sample = level + deviation
	m.noise.add(deviation, e.all().information)
	e.restored = false
	e.kind.window.add(sample, information)
	e.add(sample, information, m.noise.deviation())
	m.spread.update(e, m.noise.deviation())
	m.publishKind(e.kind)
	m.publish(e)
	m.sinceCentre++
	if m.sinceCentre >= max(minCentrePeriod, len(m.workers)/2) {
		m.findCentre()
	}
}

// worker returns the estimate of a worker, which starts anew if the worker's kind has changed.
func (m *Model) worker(id, kind string) *estimate {
	k := m.kinds[kind]
	if k == nil {
		k = &kindEstimate{labelled: kind != "", window: window{decay: kindDecay}}
		m.kinds[kind] = k
	}
	e := m.workers[id]
	if e != nil && e.kind != k {
		m.Forget(id)
		e = nil
	}
	if e == nil {
		e = newEstimate(k)
		m.workers[id] = e
		m.setPublished(&e.published, k.published.value)
	}
	return e
}

// level returns the estimate of a worker. The more the workers of a kind differ, the less the kind
// counts beside the worker's own runs.
func (m *Model) level(e *estimate) float64 {
	if e.distinct {
		return e.level()
	}
	return e.levelWith(m.spread.priorInformation())
}

// publish derives a worker's factor from its own runs if they or those of all workers say that
// workers of its kind differ, and otherwise from its kind. What a previous owner has learned stays until the
// first run under this one.
func (m *Model) publish(e *estimate) {
	if e.restored {
		return
	}
	score := math.Abs(e.score(m.noise.deviation()))
	limit := float64(ownScore)
	if e.kind.published.value != 0 {
		limit = unevenKindScore
	}
	e.distinct = score > limit || e.distinct && score > ownScoreEnd
	if e.distinct || m.spread.open {
		m.setPublished(&e.published, m.level(e)-m.centre)
		return
	}
	m.setPublished(&e.published, e.kind.published.value)
}

// publishKind derives the factor of a kind, and of the workers that follow it if it has changed.
func (m *Model) publishKind(k *kindEstimate) {
	if !k.known(m.centre, m.noise.deviation()) {
		return
	}
	if m.setPublished(&k.published, k.window.mean()-m.centre) {
		m.publishAll()
	}
}

func (m *Model) publishAll() {
	for _, e := range m.workers {
		m.publish(e)
	}
}

func (m *Model) setPublished(b *band, value float64) bool {
	next := *b
	if !next.set(value) {
		return false
	}
	m.replacePublished(b, next)
	return true
}

func (m *Model) replacePublished(b *band, next band) {
	if next.value != b.value {
		m.changes++
	}
	if b.value != 0 {
		m.distinct--
	}
	if next.value != 0 {
		m.distinct++
	}
	*b = next
}

// findCentre makes the median worker the typical one.
func (m *Model) findCentre() {
	m.sinceCentre = 0
	levels := make([]float64, 0, len(m.workers))
	for _, e := range m.workers {
		if e.all().information >= minCentreInformation {
			levels = append(levels, m.level(e))
		}
	}
	if len(levels) == 0 {
		return
	}
	slices.Sort(levels)
	median := levels[(len(levels)-1)/2]
	if math.Abs(median-m.centre) < centreStep {
		return
	}
	m.centre = median
	for _, k := range m.kinds {
		m.publishKind(k)
	}
	m.publishAll()
}
