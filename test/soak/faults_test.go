package soak

import (
	"context"
	"math/rand"
	"slices"
	"sync"
	"syscall"
	"time"

	"gentianstand/platform/standin"
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
	{"connections between instances go silent", func(w *world, rnd *rand.Rand) { silence(some(rnd, w.peerProxies())) }},
	{"connections to the store go silent", func(w *world, rnd *rand.Rand) { silence(some(rnd, w.storeAt)) }},
	{"connections to workers and the adviser go silent", func(w *world, rnd *rand.Rand) { silence(some(rnd, w.serviceProxies())) }},
	allSilent,
	{"most instances are lost", func(w *world, rnd *rand.Rand) {
		lost := w.loseMost(rnd)
		pause(rnd, 3000, 6000)
		// Until here, the other instances saw no end of a connection.
		for _, p := range lost {
			p.end()
		}
		if rnd.Intn(3) == 0 {
			return // for good
		}
		for _, p := range lost {
			w.bringBack(p)
		}
	}},
}

var allSilent = fault{"all connections go silent", func(w *world, _ *rand.Rand) {
	silence(slices.Concat(w.peerProxies(), w.storeAt, w.serviceProxies()))
}}

// leaseTime is longer than an owner's lease: a run that is reached no more has ended after that.
const leaseTime = 4 * time.Second

// silence makes the open connections of proxies silent for good. It returns when the runs that are reached
// no more have ended, so that they do not pass for running.
func silence(proxies []*standin.Proxy) {
	for _, p := range proxies {
		p.SilenceOpen()
	}
	time.Sleep(leaseTime)
}

// some returns one, several or all elements of a list, each as often.
func some[T any](rnd *rand.Rand, list []T) []T {
	n := []int{1, 1 + rnd.Intn(len(list)), len(list)}[rnd.Intn(3)]
	var chosen []T
	for _, i := range rnd.Perm(len(list))[:n] {
		chosen = append(chosen, list[i])
	}
	return chosen
}

// poison submits a job whose task crashes every worker on which it starts.
var poison = fault{"a task crashes its workers", func(w *world, rnd *rand.Rand) { w.callers.submitPoison(rnd) }}

// beforePeerFaults is the number of faults in the list before those between instances were added. A
// seed draws from the list as long as it was when the seed failed.
const beforePeerFaults = 14

// beforeRestarts is the number of faults in the list before the restarts of workers under their ids
// were added.
const beforeRestarts = 19

// beforeSilence is the number of faults in the list before silent connections and lost instances were
// added.
const beforeSilence = 21

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

// injectInTurn injects allSilent and then random faults until ctx ends, one at a time, each after a calm
// time, in which the owner opens its links, and followed by a call of recovered. It returns their names.
func injectInTurn(ctx context.Context, w *world, rnd *rand.Rand, faults []fault, recovered func()) []string {
	var names []string
	for f := allSilent; ctx.Err() == nil; f = faults[rnd.Intn(len(faults))] {
		pause(rnd, 2500, 3500)
		names = append(names, f.name)
		f.inject(w, rnd)
		recovered()
	}
	return names
}

func pause(rnd *rand.Rand, fromMillis, toMillis int) {
	time.Sleep(time.Duration(fromMillis+rnd.Intn(toMillis-fromMillis)) * time.Millisecond)
}

// pick returns a random process that is not lost. Several faults may affect it at the same time.
func (w *world) pick(rnd *rand.Rand) *process {
	first := rnd.Intn(len(w.procs))
	at := slices.IndexFunc(slices.Concat(w.procs[first:], w.procs[:first]), func(p *process) bool { return !p.isLost() })
	return w.procs[(first+at)%len(w.procs)]
}

// loseMost loses most of the processes that are not lost, but not all.
func (w *world) loseMost(rnd *rand.Rand) []*process {
	w.restarts.Lock()
	defer w.restarts.Unlock()
	left := slices.DeleteFunc(slices.Clone(w.procs), func(p *process) bool { return p.isLost() })
	rnd.Shuffle(len(left), func(i, j int) { left[i], left[j] = left[j], left[i] })
	kept := 1 + rnd.Intn(max(1, (len(left)-1)/2))
	for _, p := range left[kept:] {
		p.lose()
	}
	return left[kept:]
}

// bringBack restarts a lost process.
func (w *world) bringBack(p *process) {
	p.setLost(false)
	w.restart(p)
}

// restart restarts a process unless it is lost or another fault has done so.
func (w *world) restart(p *process) {
	w.restarts.Lock()
	defer w.restarts.Unlock()
	if p.isLost() || !p.ended() {
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
