package slack

import "time"

const (
	// releasePeriod is the resolution of Releases. Run times are known less exactly.
	releasePeriod = 50 * time.Millisecond
	// releasePeriods bounds how far ahead releases are kept; no work waits for longer.
	releasePeriods = int(maxWait / releasePeriod)
)

// Releases holds the processor time that the ends of runs are expected to free, by class and
// period. Memory is not counted: a wait for a worker that lacks memory is bounded as any other.
type Releases struct {
	milliCPU [classes][releasePeriods]int64
}

// Reset removes all releases.
func (r *Releases) Reset() { *r = Releases{} }

// Add adds the expected end of a run.
func (r *Releases) Add(c Class, in time.Duration, milliCPU int64) {
	if i := int(in / releasePeriod); i >= 0 && i < releasePeriods {
		r.milliCPU[c.index()][i] += milliCPU
	}
}

// until returns after how long an amount is expected to be free on the given share of a class.
func (r *Releases) until(c Class, share float64, milliCPU int64) (time.Duration, bool) {
	sum := int64(0)
	for i, released := range &r.milliCPU[c.index()] {
		sum += released
		if share*float64(sum) >= float64(milliCPU) {
			return time.Duration(i+1) * releasePeriod, true
		}
	}
	return 0, false
}
