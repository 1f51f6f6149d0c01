package workerspeed

import "math"

const (
	// openScore is the score of an analysis of variance (distance from its mean in standard
	// deviations) from which workers of one kind count as different, until it falls below closeScore.
	// At 6, equal workers whose stages each run on one or two workers are sometimes taken for different.
	openScore, closeScore = 8, 2
	// maxSquare bounds the contribution of one worker, so that a few slow workers do not make
	// all others be rated by a few runs of their own.
	maxSquare = 16
	// maxPriorInformation is the number of runs as which a kind counts while its workers do not
	// differ.
	maxPriorInformation = 30
)

// spreadShare is the contribution of a worker to the spread.
type spreadShare struct {
	square      float64
	information float64
	counted     bool
}

// spread is an analysis of variance over all workers: it tells whether workers of one kind differ
// by more than chance. Each update takes constant time.
type spread struct {
	workers     int
	squares     float64
	information float64
	open        bool
}

func (s *spread) remove(e *estimate) {
	if !e.counted.counted {
		return
	}
	s.workers--
	s.squares -= e.counted.square
	s.information -= e.counted.information
	e.counted = spreadShare{}
}

// update replaces the contribution of a worker.
func (s *spread) update(e *estimate, deviation float64) {
	s.remove(e)
	own := e.all()
	score := e.score(deviation)
	e.counted = spreadShare{square: min(maxSquare, score*score), information: own.information * own.information / own.variance, counted: true}
	s.workers++
	s.squares += e.counted.square
	s.information += e.counted.information
	limit := float64(openScore)
	if s.open {
		limit = closeScore
	}
	s.open = s.squares > float64(s.workers)+limit*math.Sqrt(2*float64(s.workers))
}

// priorInformation returns the number of runs as which the kind of a worker counts beside its own:
// the ratio of the variance of runs to that between workers.
func (s *spread) priorInformation() float64 {
	excess := s.squares - float64(s.workers)
	if !s.open || excess <= 0 {
		return maxPriorInformation
	}
	return min(maxPriorInformation, ownPriorInformation+s.information/excess)
}
