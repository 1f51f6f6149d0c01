package workerspeed

const (
	// earlierDecay lets about the last 20 runs of a worker count. With 10 runs, the factors of workers
	// without labels that differ by 2.4 came out as 1.9 on average; with 20 it is 2.2. Considerable changes
	// are found by deviating much sooner.
	earlierDecay = 0.95
	// suspectExcess is the share of changeLimit from which a worker may have turned slow. One task
	// that takes seven times as long reaches 0.3.
	suspectExcess = 0.4
	// suspectLevel and suspectScore are how much slower than its factor a worker is by all of its runs, as
	// a logarithm (1.65 times) and in standard errors, if it may have turned slow.
	suspectLevel = 0.5
	suspectScore = 3
)

// estimate is the estimate of one worker.
type estimate struct {
	kind *kindEstimate
	// earlier holds the samples before the deviating ones.
	earlier   window
	deviating deviating
	// distinct is set while the worker differs from others of its kind by its own runs alone.
	distinct  bool
	published band
	// restored is set until the first sample under this owner.
	restored bool
	// counted is its contribution to the spread of workers.
	counted spreadShare
}

func newEstimate(k *kindEstimate) *estimate {
	return &estimate{kind: k, earlier: window{decay: earlierDecay}, deviating: noDeviation()}
}

func noDeviation() deviating { return deviating{samples: window{decay: earlierDecay}} }

// add adds a sample, and discards the earlier ones if the last ones show that the worker has changed.
func (e *estimate) add(sample, information, deviation float64) {
	e.deviating.add(sample, information, (sample-e.earlierLevel())/deviation)
	switch {
	case e.deviating.over():
		e.earlier = e.all()
		e.deviating = noDeviation()
	case e.deviating.changed():
		e.earlier = e.deviating.samples
		e.deviating = noDeviation()
	}
}

// suspect reports whether the last runs were much slower than the earlier ones.
func (e *estimate) suspect() bool {
	return e.deviating.direction > 0 && e.deviating.excess > suspectExcess*changeLimit
}

// all returns all samples.
func (e *estimate) all() window { return e.earlier.followedBy(e.deviating.samples) }

// earlierLevel is the level without the deviating samples.
func (e *estimate) earlierLevel() float64 {
	return (ownPriorInformation*e.kind.window.mean() + e.earlier.sum) / (ownPriorInformation + e.earlier.information)
}

// level returns the mean of the worker's runs, with a small share of its kind's.
func (e *estimate) level() float64 { return e.levelWith(ownPriorInformation) }

// levelWith returns the mean of the worker's runs if the kind counts as the given number of runs.
func (e *estimate) levelWith(prior float64) float64 {
	own := e.all()
	return (prior*e.kind.window.mean() + own.sum) / (prior + own.information)
}

// score returns the distance of the worker from its kind in standard errors.
func (e *estimate) score(deviation float64) float64 {
	own := e.all()
	return own.score(e.kind.window.mean(), deviation)
}
