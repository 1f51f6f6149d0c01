package planner

import (
	"time"

	"gentianstand/internal/estimate"
	"gentianstand/internal/health"
	"gentianstand/internal/placement/cluster"
	"gentianstand/internal/resource"
	"gentianstand/internal/run"
	"gentianstand/internal/spec"
	"gentianstand/internal/worker"
)

// Core holds the planner's state and makes its decisions. It is not safe for
// concurrent use; the current time is passed in.
type Core struct {
	text   *spec.Text
	number uint64

	runs    map[string]*entry
	active  map[string]*entry
	workers map[string]*workerView
	// orphanCounts holds, per task, the number of running attempts that the
	// planner did not record.
	orphanCounts map[taskKey]int
	// cluster is rebuilt when the set of workers or their state changes.
	cluster      *cluster.Cluster
	clusterStale bool
	fleetVersion int

	used    map[string]resource.Amount
	history map[string]*estimate.History
	health  *health.Tracker

	recovery recovery
	// outage is true while the table is confirmed to be unavailable and nothing
	// can be written.
	outage bool
	// claims reserves workers for urgent runs while preempted tasks stop there.
	claims      map[string]claim
	reservation reservation

	changed map[string]*entry
	// decided holds starts that are not part of a batch yet. unwritten also
	// holds those whose batch is being written.
	decided   []start
	unwritten map[taskKey]int
	outbox    *outbox
	events    []Event
}

// NewCore returns a Core with the runs read from the table.
func NewCore(runs []*run.Run, now time.Time) *Core {
	c := &Core{
		text: &spec.Text{}, runs: map[string]*entry{}, active: map[string]*entry{},
		workers: map[string]*workerView{}, orphanCounts: map[taskKey]int{}, clusterStale: true,
		used: map[string]resource.Amount{}, history: map[string]*estimate.History{}, health: health.NewTracker(),
		claims: map[string]claim{}, changed: map[string]*entry{}, unwritten: map[taskKey]int{}, outbox: newOutbox(),
	}
	c.recovery = newRecovery(now)
	for _, r := range runs {
		c.load(r, now)
	}
	return c
}

func (c *Core) load(r *run.Run, now time.Time) {
	e := newEntry(r)
	e.stored = run.Chunks(len(r.Tasks))
	e.readySince = now
	c.runs[r.ID] = e
	if r.State.Final() {
		return
	}
	e.inherited = true
	c.active[r.ID] = e
	for i := range r.Tasks {
		if r.Tasks[i].State == run.TaskAssigned {
			c.recordAssignment(e, i)
		}
	}
}

// recordAssignment adds an assigned task to its worker and to its team's usage.
func (c *Core) recordAssignment(e *entry, index int) {
	t := &e.run.Tasks[index]
	v := c.workerView(t.Worker)
	v.tasks[taskKey{e.run.ID, index}] = true
	c.used[e.run.Workload.Team] = c.used[e.run.Workload.Team].Add(t.Need)
}

// removeAssignment removes a task that no longer uses its worker.
func (c *Core) removeAssignment(e *entry, index int) {
	t := &e.run.Tasks[index]
	v := c.workerView(t.Worker)
	key := taskKey{e.run.ID, index}
	if !v.tasks[key] {
		return
	}
	delete(v.tasks, key)
	c.used[e.run.Workload.Team] = c.used[e.run.Workload.Team].Sub(t.Need)
	if i, ok := c.findNode(t.Worker); ok {
		c.cluster.Release(i, e.run.Workload.Name, t.Need)
	}
}

func (c *Core) workerView(id string) *workerView {
	v, ok := c.workers[id]
	if !ok {
		v = &workerView{tasks: map[taskKey]bool{}, orphans: map[worker.TaskRef]worker.TaskStatus{}}
		v.report.Worker = id
		c.workers[id] = v
	}
	return v
}

// findNode returns the worker's index in the cluster. It returns false if the
// cluster has to be rebuilt.
func (c *Core) findNode(id string) (int, bool) {
	if c.clusterStale || c.cluster == nil {
		return 0, false
	}
	return c.cluster.Find(id)
}

func (c *Core) markChanged(e *entry) { c.changed[e.run.ID] = e }

func (c *Core) markTaskChanged(e *entry, index int) {
	e.markTaskChanged(index)
	c.markChanged(e)
}

func (c *Core) markHeadChanged(e *entry) {
	e.head = true
	c.markChanged(e)
}
