package cellowner

import (
	"sync"
	"time"
)

const (
	// patienceLeast and patienceMost bound the wait for the answer to an order.
	patienceLeast = 200 * time.Millisecond
	patienceMost  = 800 * time.Millisecond
	// patienceFactor times the usual duration of an answer is waited: orders take
	// 2 to 5 ms, more when this instance is short of processor.
	patienceFactor = 15
	// briefFactor times the usual duration, and at least briefLeast, is waited for
	// an answer where sending the order again does no harm and costs one call.
	briefFactor = 8
	briefLeast  = 60 * time.Millisecond
	// patienceWeight is the weight of the newest answer in the usual duration.
	patienceWeight = 0.05
)

// patience tells how long to wait for the answer to an order.
//
// Load pattern: for some seconds a few percent of the orders are carried out
// late and not answered. A step of ten tasks then has one such order in every
// third case, and all of the step waits for it. A wait that follows what answers
// usually take revokes the order, and starts the task elsewhere, in time. A day
// of such load earned 0.76 of its worth with fixed waits of 0.8 s for orders and
// 1.8 s for looks, and 0.87 with these.
type patience struct {
	mu    sync.Mutex
	usual time.Duration
}

// answered takes in how long an answer took.
func (p *patience) answered(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usual += time.Duration(patienceWeight * float64(took-p.usual))
}

// brief returns how long to wait where the order may be sent again.
func (p *patience) brief() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(briefFactor*p.usual, briefLeast), patienceMost)
}

// limit returns how long to wait.
func (p *patience) limit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(patienceFactor*p.usual, patienceLeast), patienceMost)
}
