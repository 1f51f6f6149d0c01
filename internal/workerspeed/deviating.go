package workerspeed

const (
	// changeDrift is the distance from the estimate of a worker that no sample counts for a change,
	// and changeLimit the sum of the rest at which the worker has changed, both in standard
	// deviations of a run. With equal workers and 3% of tasks that take seven times as long, a worker
	// seems to have changed once in some 15,000 runs. One that turns 6 times slower has a factor of
	// 2.4 or more after 6 runs at the median.
	changeDrift = 0.6
	changeLimit = 7
)

// deviating holds the latest samples of a worker while they deviate from the earlier ones in one
// direction (a cumulative sum test).
type deviating struct {
	samples window
	// direction is 1 if they are slower and -1 if they are faster, and excess is the sum of their
	// distances beyond the drift.
	direction float64
	excess    float64
}

// add adds a sample that deviates by some standard deviations from the earlier ones.
func (d *deviating) add(sample, information, distance float64) {
	if d.samples.information == 0 {
		d.direction = 1
		if distance < 0 {
			d.direction = -1
		}
	}
	d.samples.add(sample, information)
	d.excess += information * (d.direction*distance - changeDrift)
}

// over reports whether the samples do not deviate any more.
func (d *deviating) over() bool { return d.excess <= 0 }

// changed reports whether the worker has changed.
func (d *deviating) changed() bool { return d.excess > changeLimit }
