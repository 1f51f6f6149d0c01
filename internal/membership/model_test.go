package membership_test

import "testing"

// Durations of the model, in ticks. They have the same order as the real ones;
// only their sums matter to the protocol.
const (
	sessionTTL     = 2
	attestAfter    = 1
	attestationTTL = 2
	leaseTicks     = 2
	forever        = attestationTTL + leaseTicks + 1
)

// variant is the protocol with at most one of its mechanisms removed.
type variant struct {
	name string
	// noFence declares a worker lost without fencing its previous owner.
	noFence bool
	// electorsForget counts an elector that restarted as the same elector.
	electorsForget bool
	// relativeLease counts a lease from the arrival of the message.
	relativeLease bool
	// anyElector accepts a single attestation.
	anyElector bool
}

// world is a state of the model: a previous owner X, a new owner Y, a third
// elector Z, the table, and a worker that runs a task under X's lease. Ages
// saturate.
type world struct {
	xRenewed, xAttested, xStamp  int8
	xSilence, ySilence, zSilence int8
	// rowAge is how long Y has read X's row unchanged.
	rowAge  int8
	changed bool
	yOwns   bool
	xKnows  bool
	// fenced has one bit each for the electors X, Y and Z; fencedFor is the
	// time since a majority fenced X.
	fenced    uint8
	fencedFor int8
	// yFenced is true once a majority has answered Y.
	yFenced bool
	// lease is the remaining lease at the worker; late is the lease that a
	// message in transit would set.
	lease, late int8
	lost        bool
}

// choice is what happens in one tick; every combination is tried.
type choice struct {
	xTable, yTable, zTable bool
	xWorker, xFrozen       bool
	xy, xz, yz             bool
	delay, deliver         bool
	zRestarts              bool
}

func choices(v variant) []choice {
	var all []choice
	for bits := range 1 << 11 {
		b := func(i int) bool { return bits&(1<<i) != 0 }
		c := choice{b(0), b(1), b(2), b(3), b(4), b(5), b(6), b(7), b(8), b(9), b(10)}
		frozenNoise := c.xFrozen && (c.xTable || c.xWorker || c.xy || c.xz)
		if (c.zRestarts && !v.electorsForget) || (c.delay && !c.xWorker) || frozenNoise {
			continue
		}
		all = append(all, c)
	}
	return all
}

// sameWithout reports whether c differs from another choice only in something
// that has no effect in this state.
func (w world) sameWithout(c choice) bool {
	return (c.deliver && w.late == 0) || (c.yTable && w.yOwns) || (c.yz && !w.yOwns)
}

func age(a int8) int8 { return min(a+1, forever) }

func less(a int8) int8 { return max(a-1, 0) }

// step computes one tick: time passes, the table is read and written, electors
// are asked, X renews the worker's lease if it may, and Y declares the worker
// lost if it may. The worker is never reachable from Y, because otherwise Y
// would ask it.
func step(v variant, w world, c choice) world {
	w.xRenewed, w.xAttested, w.xStamp = age(w.xRenewed), age(w.xAttested), age(w.xStamp)
	w.xSilence, w.ySilence, w.zSilence = age(w.xSilence), age(w.ySilence), age(w.zSilence)
	w.rowAge, w.fencedFor = age(w.rowAge), age(w.fencedFor)
	w.lease = less(w.lease)
	if !v.relativeLease {
		w.late = less(w.late)
	}
	if c.zRestarts {
		w.fenced &^= 4
	}
	w = readTables(w, c)
	w = confirm(v, w, c)
	w = fence(w, c)
	w = renewLease(v, w, c)
	return declareLost(v, w)
}

func readTables(w world, c choice) world {
	if c.xTable && !c.xFrozen {
		w.xSilence = 0
		if w.yOwns {
			w.xKnows = true
		} else {
			w.xRenewed, w.changed = 0, true
		}
	}
	if c.zTable {
		w.zSilence = 0
	}
	if !c.yTable {
		return w
	}
	gap := w.ySilence > attestAfter
	w.ySilence = 0
	if gap || w.changed {
		w.rowAge, w.changed = 0, false
	}
	if !w.yOwns && w.rowAge >= sessionTTL {
		w.yOwns, w.fencedFor = true, 0
	}
	return w
}

func confirm(v variant, w world, c choice) world {
	if c.xFrozen || w.xKnows || w.xSilence < attestAfter {
		return w
	}
	votes := 0
	if w.fenced&1 == 0 {
		votes++
	}
	if c.xy && w.ySilence >= attestAfter && w.fenced&2 == 0 {
		votes++
	}
	if c.xz && w.zSilence >= attestAfter && w.fenced&4 == 0 {
		votes++
	}
	if votes >= 2 || (v.anyElector && votes >= 1) {
		w.xAttested = 0
	}
	return w
}

func fence(w world, c choice) world {
	if !w.yOwns || w.yFenced {
		return w
	}
	w.fenced |= 2
	if c.yz {
		w.fenced |= 4
	}
	if c.xy && !c.xFrozen {
		w.fenced |= 1
	}
	if majority(w.fenced) {
		w.yFenced, w.fencedFor = true, 0
	}
	return w
}

func majority(bits uint8) bool { return bits&1+bits>>1&1+bits>>2&1 >= 2 }

func renewLease(v variant, w world, c choice) world {
	if c.deliver && w.late > 0 {
		w.lease, w.late = max(w.lease, w.late), 0
	}
	mayAct := !c.xFrozen && !w.xKnows && (w.xRenewed < sessionTTL || w.xAttested < attestationTTL)
	if !mayAct || !c.xWorker {
		return w
	}
	grants := max(leaseTicks-w.xStamp, 0)
	if v.relativeLease {
		grants = leaseTicks
	}
	if c.delay {
		w.late = max(w.late, grants)
		return w
	}
	w.lease = max(w.lease, grants)
	w.xStamp = 0
	return w
}

func declareLost(v variant, w world) world {
	wait := int8(attestationTTL + leaseTicks)
	if v.noFence {
		if w.yOwns && w.fencedFor >= leaseTicks {
			w.lost = true
		}
		return w
	}
	if w.yFenced && w.fencedFor >= wait {
		w.lost = true
	}
	return w
}

// explore visits every reachable state. It returns their number, and whether in
// one of them the worker is declared lost while its task runs or would run
// again once a late message arrives.
func explore(v variant) (states int, unsafe bool) {
	start := world{lease: leaseTicks}
	seen := map[world]bool{start: true}
	queue := []world{start}
	all := choices(v)
	for len(queue) > 0 {
		w := queue[len(queue)-1]
		queue = queue[:len(queue)-1]
		for _, c := range all {
			if w.sameWithout(c) {
				continue
			}
			next := step(v, w, c)
			if next.lost && (next.lease > 0 || next.late > 0) {
				return len(seen), true
			}
			if !next.lost && !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen), false
}

// Guards against a task that runs in two places.
func TestModelTakeOver(t *testing.T) {
	states, unsafe := explore(variant{})
	if unsafe {
		t.Fatalf("the protocol is unsafe (found after %d states)", states)
	}
	t.Logf("%d states", states)
}

// TestModelFindsMissingMechanisms: with any one mechanism removed, the model
// does find a violation. This shows that the model can detect unsafe protocols.
func TestModelFindsMissingMechanisms(t *testing.T) {
	variants := []variant{
		{name: "no fence", noFence: true},
		{name: "electors forget", electorsForget: true},
		{name: "lease counted from arrival", relativeLease: true},
		{name: "one elector is enough", anyElector: true},
	}
	for _, v := range variants {
		t.Run(v.name, func(t *testing.T) {
			if states, unsafe := explore(v); !unsafe {
				t.Errorf("no violation found in %d states", states)
			}
		})
	}
}
