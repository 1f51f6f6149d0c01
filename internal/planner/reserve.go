package planner

import (
	"cmp"
	"slices"
	"time"

	"gentianstand/internal/placement/cluster"
	"gentianstand/internal/placement/gang"
	"gentianstand/internal/placement/order"
	"gentianstand/internal/placement/policy"
	"gentianstand/internal/resource"
	"gentianstand/internal/run"
	"gentianstand/internal/spec"
)

// reservation reserves capacity for the first gang that does not fit. Smaller
// work is backfilled around it: tasks that end before the gang can start may
// use the reserved capacity, others only what the gang leaves free (EASY
// backfill: Lifka, JSSPP 1995). Without it a stream of small tasks starves
// every gang.
type reservation struct {
	run string
	// at is when the gang is expected to fit.
	at time.Time
	// madeAt is when the reservation was computed; it limits how often that is
	// done.
	madeAt time.Time
	fleet  int
}

// Limits of reservations.
const (
	reservationPeriod = time.Second
	// gangReservationDelay is how long a gang waits before capacity is reserved
	// for it. A reservation lowers utilization, and most gangs fit soon without
	// one.
	gangReservationDelay = time.Minute
	// unknownRunTime is assumed for tasks that declare no run time.
	unknownRunTime = time.Hour
)

// release is capacity that a running task is expected to free.
type release struct {
	at   time.Time
	node int
	need resource.Amount
}

// updateReservation keeps the reservation for the first gang in order up to
// date.
func (c *Core) updateReservation(cl *cluster.Cluster, items []order.Item, now time.Time) {
	first := c.firstGang(items, now)
	if first == nil {
		c.clearReservation(cl)
		return
	}
	fresh := c.reservation.run == first.run.ID && c.reservation.fleet == c.fleetVersion && now.Sub(c.reservation.madeAt) < reservationPeriod
	if fresh {
		return
	}
	c.clearReservation(cl)
	c.reserve(cl, first, now)
}

func (c *Core) firstGang(items []order.Item, now time.Time) *entry {
	gangs := slices.DeleteFunc(slices.Clone(items), func(i order.Item) bool { return !i.Gang || now.Sub(i.ReadySince) < gangReservationDelay })
	if len(gangs) == 0 {
		return nil
	}
	order.Sort(gangs, c.shares(), c.total(), now)
	return c.active[gangs[0].Run]
}

func (c *Core) clearReservation(cl *cluster.Cluster) {
	if c.reservation.run == "" {
		return
	}
	c.reservation = reservation{}
	for i := range cl.Len() {
		cl.SetFreeForLong(i, cl.Node(i).Free)
	}
}

// reserve computes the earliest time at which the gang fits, assuming that
// running tasks end as expected, and reserves the workers it would get then.
func (c *Core) reserve(cl *cluster.Cluster, e *entry, now time.Time) {
	need := c.need(e)
	free := make([]resource.Amount, cl.Len())
	for i := range free {
		free[i] = cl.Node(i).Free
	}
	at := now
	seats := seatsIn(cl, free, need, len(e.run.Tasks))
	for _, r := range c.releases(cl, now) {
		if seats >= int64(len(e.run.Tasks)) {
			break
		}
		before := need.CountIn(free[r.node], int64(len(e.run.Tasks)))
		free[r.node] = free[r.node].Add(r.need)
		seats += need.CountIn(free[r.node], int64(len(e.run.Tasks))) - before
		at = r.at
	}
	if seats < int64(len(e.run.Tasks)) {
		return
	}
	c.reservation = reservation{run: e.run.ID, at: at, madeAt: now, fleet: c.fleetVersion}
	for i, n := range placeOn(cl, free, need, len(e.run.Tasks)) {
		cl.SetFreeForLong(i, free[i].Sub(need.Times(n)))
	}
}

func seatsIn(cl *cluster.Cluster, free []resource.Amount, need resource.Amount, limit int) int64 {
	var seats int64
	for i := range free {
		if !cl.Node(i).Unschedulable {
			seats += need.CountIn(free[i], int64(limit))
		}
	}
	return seats
}

// placeOn returns how many tasks of the gang each worker would get with the
// given free capacity.
func placeOn(cl *cluster.Cluster, free []resource.Amount, need resource.Amount, tasks int) map[int]int64 {
	nodes := make([]cluster.Node, cl.Len())
	for i := range nodes {
		nodes[i] = *cl.Node(i)
		nodes[i].Free, nodes[i].FreeForLong = free[i], free[i]
	}
	then := cluster.New(nodes)
	counts := map[int]int64{}
	decision := gang.Policy{}.Place(then, policy.Request{Need: need, Tasks: tasks})
	for _, node := range decision.Nodes {
		counts[node]++
	}
	return counts
}

// releases returns when running tasks are expected to free their capacity,
// earliest first.
func (c *Core) releases(cl *cluster.Cluster, now time.Time) []release {
	var list []release
	for _, e := range c.active {
		if e.run.Workload.Kind == spec.Service {
			continue
		}
		expected := c.expectedRunTime(e)
		if expected == 0 {
			expected = unknownRunTime
		}
		for i := range e.run.Tasks {
			t := &e.run.Tasks[i]
			if t.State != run.TaskAssigned {
				continue
			}
			if node, ok := cl.Find(t.Worker); ok {
				list = append(list, release{at: expectedEnd(t, expected, now), node: node, need: t.Need})
			}
		}
	}
	slices.SortStableFunc(list, func(a, b release) int {
		if d := a.at.Compare(b.at); d != 0 {
			return d
		}
		return cmp.Compare(a.node, b.node)
	})
	return list
}

func expectedEnd(t *run.Task, expected time.Duration, now time.Time) time.Time {
	if t.StartedAt.IsZero() {
		return now.Add(expected)
	}
	end := t.StartedAt.Add(expected)
	if end.Before(now) {
		return now.Add(expected / 4)
	}
	return end
}
