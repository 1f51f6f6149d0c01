package soak

import (
	"context"
	"math/rand"
	"sync"
	"syscall"
	"time"
)

// fault injects a fault and ends it before it returns.
type fault struct {
	name   string
	inject func(w *world, rnd *rand.Rand)
}

var faults = []fault{
	{"kill a process", func(w *world, rnd *rand.Rand) {
		p := w.pick(rnd)
		p.end()
		pause(rnd, 100, 1500)
		w.restart(p)
	}},
	{"stop a process", func(w *world, rnd *rand.Rand) {
		p := w.pick(rnd)
		p.signal(syscall.SIGTERM)
		p.wait()
		pause(rnd, 0, 500)
		w.restart(p)
	}},
	{"pause a process", func(w *world, rnd *rand.Rand) {
		p := w.pick(rnd)
		p.signal(syscall.SIGSTOP)
		pause(rnd, 300, 5000)
		p.signal(syscall.SIGCONT)
	}},
	{"reload a process", func(w *world, rnd *rand.Rand) { w.pick(rnd).signal(syscall.SIGHUP) }},
	{"store refuses all", func(w *world, rnd *rand.Rand) {
		w.store.Refuse.Store(true)
		pause(rnd, 300, 3000)
		w.store.Refuse.Store(false)
	}},
	{"store loses answers", func(w *world, rnd *rand.Rand) {
		w.store.LoseEvery.Store(int64(2 + rnd.Intn(4)))
		pause(rnd, 500, 3000)
		w.store.LoseEvery.Store(0)
	}},
	{"store forgets its history", func(w *world, _ *rand.Rand) { w.store.DropHistory() }},
	{"one process loses the store", func(w *world, rnd *rand.Rand) {
		proxy := w.storeAt[rnd.Intn(len(w.storeAt))]
		proxy.Cut(rnd.Intn(2) == 0, true)
		pause(rnd, 500, 4000)
		proxy.Heal()
		proxy.Reset()
	}},
	{"store connections are reset", func(w *world, rnd *rand.Rand) { w.storeAt[rnd.Intn(len(w.storeAt))].Reset() }},
	{"store is slow", func(w *world, rnd *rand.Rand) {
		proxy := w.storeAt[rnd.Intn(len(w.storeAt))]
		proxy.Delay(time.Duration(50+rnd.Intn(200)) * time.Millisecond)
		pause(rnd, 500, 3000)
		proxy.Delay(0)
	}},
	{"a worker is cut off", func(w *world, rnd *rand.Rand) {
		proxy := w.workerAt[rnd.Intn(len(w.workerAt))]
		out := rnd.Intn(2) == 0
		proxy.Cut(out, !out || rnd.Intn(2) == 0)
		pause(rnd, 500, 5000)
		proxy.Heal()
		proxy.Reset()
	}},
	{"worker connections are reset", func(w *world, rnd *rand.Rand) { w.workerAt[rnd.Intn(len(w.workerAt))].Reset() }},
	{"a worker refuses connections", func(w *world, rnd *rand.Rand) {
		proxy := w.workerAt[rnd.Intn(len(w.workerAt))]
		proxy.Refuse(true)
		proxy.Reset()
		pause(rnd, 300, 2000)
		proxy.Refuse(false)
	}},
	{"a worker is replaced", func(w *world, rnd *rand.Rand) { w.replaceWorker(rnd.Intn(workers), nil) }},
	{"an instance is not heard by the others", func(w *world, rnd *rand.Rand) {
		peer := w.pick(rnd).peer
		out := rnd.Intn(2) == 0
		peer.Cut(out, !out || rnd.Intn(2) == 0)
		pause(rnd, 500, 4000)
		peer.Heal()
		peer.Reset()
	}},
	{"an instance refuses the others", func(w *world, rnd *rand.Rand) {
		peer := w.pick(rnd).peer
		peer.Refuse(true)
		peer.Reset()
		pause(rnd, 200, 3000)
		peer.Refuse(false)
	}},
	{"no instance hears another", func(w *world, rnd *rand.Rand) {
		for _, p := range w.procs {
			p.peer.Cut(true, true)
		}
		pause(rnd, 500, 4000)
		for _, p := range w.procs {
			p.peer.Heal()
			p.peer.Reset()
		}
	}},
	{"an instance is slow to answer the others", func(w *world, rnd *rand.Rand) {
		peer := w.pick(rnd).peer
		peer.Delay(time.Duration(50+rnd.Intn(250)) * time.Millisecond)
		pause(rnd, 500, 3000)
		peer.Delay(0)
	}},
	poison,
	{"a worker restarts under its id", func(w *world, rnd *rand.Rand) {
		w.restartWorker(rnd.Intn(workers), time.Duration(rnd.Intn(1500))*time.Millisecond, nil)
	}},
	{"all workers restart under their ids", func(w *world, rnd *rand.Rand) {
		for i := range workers {
			w.restartWorker(i, time.Duration(rnd.Intn(1500))*time.Millisecond, nil)
			pause(rnd, 0, 200)
		}
	}},
}

// poison submits a job whose task crashes every worker on which it starts.
var poison = fault{"a task crashes its workers", func(w *world, rnd *rand.Rand) { w.callers.submitPoison(rnd) }}

// beforePeerFaults is the number of faults in the list before those between instances were added. A
// seed draws from the list as long as it was when the seed failed.
const beforePeerFaults = 14

// beforeRestarts is the number of faults in the list before the restarts of workers under their ids
// were added.
const beforeRestarts = 19

// poisonShare is how many times as likely as another fault a poison task is in TestSoakPoison, so
// that each seed has several of them.
const poisonShare = 6

// restartShare is the same for restarts of workers in TestSoakRestarts.
const restartShare = 6

// injectFaults injects random faults until ctx ends, several at a time, and returns their names in
// order.
func injectFaults(ctx context.Context, w *world, rnd *rand.Rand, faults []fault) []string {
	var wg sync.WaitGroup
	var names []string
	for ctx.Err() == nil {
		f := faults[rnd.Intn(len(faults))]
		names = append(names, f.name)
		seed := rnd.Int63()
		wg.Go(func() { f.inject(w, rand.New(rand.NewSource(seed))) })
		pause(rnd, 100, 1200)
	}
	wg.Wait()
	return names
}

func pause(rnd *rand.Rand, fromMillis, toMillis int) {
	time.Sleep(time.Duration(fromMillis+rnd.Intn(toMillis-fromMillis)) * time.Millisecond)
}

// pick returns a random process. Several faults may affect it at the same time.
func (w *world) pick(rnd *rand.Rand) *process { return w.procs[rnd.Intn(len(w.procs))] }

// restart restarts a process unless another fault has done so.
func (w *world) restart(p *process) {
	w.restarts.Lock()
	defer w.restarts.Unlock()
	if !p.ended() {
		return
	}
	if err := p.start(); err != nil {
		w.t.Errorf("%s: %v", p.name, err)
	}
}

// workspaceShare is how many times workspaceFaults are added to the other faults in
// TestSoakWorkspaces.
const workspaceShare = 6

var workspaceFaults = []fault{
	{"a key is replaced", func(w *world, rnd *rand.Rand) { w.workspaces.replaceKey(rnd) }},
	{"a quota changes", func(w *world, rnd *rand.Rand) { w.workspaces.changeQuota(rnd) }},
}
