package store

import (
	"sync"
	"time"
)

const (
	// patienceLeast and patienceMost bound the wait for the answer to a call. The
	// least is about what a store that has just become 60 times slower needs; the
	// most leaves time for one more attempt within a caller's three seconds.
	patienceLeast = 450 * time.Millisecond
	patienceMost  = 2200 * time.Millisecond
	// patienceFactor times the usual duration of an answer is waited.
	patienceFactor = 6
	// answerWeight and silenceWeight are the weights of an answer and of a call
	// that was given up: the usual duration has to rise within a few calls.
	answerWeight  = 0.1
	silenceWeight = 0.3
)

// patience tells how long to wait for the store.
//
// Load pattern: a store that is 60 times slower answers after 0.4 to 1 s. Calls
// that are given up earlier and made again only lengthen its queues; calls on a
// connection that went silent should be made again soon.
type patience struct {
	mu    sync.Mutex
	usual time.Duration
}

func (p *patience) answered(took time.Duration) { p.move(took, answerWeight) }

func (p *patience) gaveUp(after time.Duration) { p.move(after, silenceWeight) }

func (p *patience) move(to time.Duration, weight float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usual += time.Duration(weight * float64(to-p.usual))
}

func (p *patience) limit() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(max(patienceFactor*p.usual, patienceLeast), patienceMost)
}
