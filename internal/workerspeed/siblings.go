package workerspeed

import (
	"math"
	"slices"
	"time"
)

const (
	// medianEfficiency is the variance of the mean of normal samples relative to that of their median.
	medianEfficiency = 0.64
	// maxSiblings bounds the runs of a stage with which others are compared, and with it the time
	// and memory that large stages take. The first ones are kept.
	maxSiblings = 32
)

// Siblings are the runs of a stage. The zero value is ready to use.
type Siblings struct {
	runs []*sibling
	// sampled is the number of runs of each worker that were compared.
	sampled map[string]float64
	// unrated are the samples that wait until enough siblings are known.
	unrated []pendingSample
}

// sibling is a run with which others are compared.
type sibling struct {
	worker  string
	startAt time.Time
	// typical is the logarithm of its duration on a typical worker, if known is set.
	typical float64
	known   bool
	// dropped is set if the run was stopped or lost before anything was known of its duration.
	dropped bool
}

// pendingSample is a run, or a share of it, that is not compared with its siblings yet.
type pendingSample struct {
	task     Task
	duration float64
	share    float64
}

func (s *Siblings) add(worker string, now time.Time) *sibling {
	if len(s.runs) >= maxSiblings {
		return nil
	}
	run := &sibling{worker: worker, startAt: now}
	s.runs = append(s.runs, run)
	return run
}

// median returns the logarithm of the median duration of the runs on workers other than the given one,
// and their number. Runs that have not ended count as longer, if they have lasted for that long:
// without them, those that end first would make all others look slow. ok is false if the median is not
// known yet.
func (s *Siblings) median(worker string, now time.Time) (median float64, runs int, ok bool) {
	known := make([]float64, 0, maxSiblings)
	var lasted [maxSiblings]float64
	going := 0
	for _, r := range s.runs {
		switch {
		case r.worker == worker, r.dropped:
		case r.known:
			known = append(known, r.typical)
		default:
			lasted[going] = logOf(now.Sub(r.startAt))
			going++
		}
	}
	if len(known) == 0 {
		return 0, 0, going == 0
	}
	slices.Sort(known)
	// Younger runs say nothing about a median that they have not reached.
	for longer := going; ; {
		total := len(known) + longer
		low, high := (total-1)/2, total/2
		if high >= len(known) {
			return 0, 0, false
		}
		median = (known[low] + known[high]) / 2
		older := 0
		for _, l := range lasted[:going] {
			if l >= median {
				older++
			}
		}
		if older >= longer {
			return median, total, true
		}
		longer = older
	}
}

// information returns by how much more is known of a worker once a share of another of its runs is
// compared with the given number of siblings. All runs of a stage on one worker are compared with
// the same siblings, so that many of them count little if there are few siblings.
func (s *Siblings) information(worker string, share, siblings float64) float64 {
	if s.sampled == nil {
		s.sampled = map[string]float64{}
	}
	known := func(runs float64) float64 { return runs * siblings / (runs + siblings) }
	before := s.sampled[worker]
	s.sampled[worker] = before + share
	return math.Max(0, known(before+share)-known(before))
}
