package workerspeed

import "math"

const (
	// stateScale is the number of stored units per unit of a logarithm.
	stateScale = 1000
	// maxStoredRuns bounds the number of runs as which a stored estimate counts, so that a few new
	// runs correct it. It may be older than a change of the worker.
	maxStoredRuns = 5
)

// State is what is stored of a worker for the next owner.
type State struct {
	// Level is the logarithm of the worker's speed relative to the typical worker, in thousandths, and
	// Runs the number of runs on which it is based.
	Level int32  `cbor:"1,keyasint,omitempty"`
	Runs  uint32 `cbor:"2,keyasint,omitempty"`
	// Factor is the logarithm of its factor, in thousandths, and Distinct is set if that follows from
	// its own runs alone.
	Factor   int32 `cbor:"3,keyasint,omitempty"`
	Distinct bool  `cbor:"4,keyasint,omitempty"`
}

// State returns what is to be stored of a worker, or nil if nothing is known of it.
func (m *Model) State(worker string) *State {
	e := m.workers[worker]
	if e == nil {
		return nil
	}
	own := e.all()
	runs := uint32(min(maxStoredRuns, own.information))
	if runs == 0 {
		return nil
	}
	return &State{Level: stored(own.mean() - m.centre), Runs: runs, Factor: stored(e.published.value), Distinct: e.distinct}
}

// Restore sets what a previous owner has stored of a worker, unless more is known of it. Values that no
// owner stores are ignored.
func (m *Model) Restore(worker, kind string, s *State) {
	if s == nil || !plausible(s.Level) || !plausible(s.Factor) {
		return
	}
	runs := float64(min(maxStoredRuns, s.Runs))
	e := m.worker(worker, kind)
	if e.all().information >= runs {
		return
	}
	e.earlier = window{decay: earlierDecay}
	e.deviating = noDeviation()
	e.earlier.add(m.centre+float64(s.Level)/stateScale, runs)
	e.kind.window.addUnordered(e.earlier.mean(), runs)
	e.distinct, e.restored = s.Distinct, true
	m.spread.update(e, m.noise.deviation())
	m.replacePublished(&e.published, newBand(float64(s.Factor)/stateScale))
}

func stored(x float64) int32 {
	return int32(math.Round(stateScale * clamp(x, -maxStoredLevel, maxStoredLevel)))
}

// maxStoredLevel bounds stored estimates: no worker is known to be 100 times slower than another.
const maxStoredLevel = 4.6

func plausible(x int32) bool { return math.Abs(float64(x)) <= stateScale*maxStoredLevel }
