package planner_test

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"gentianstand/internal/fleet"
	"gentianstand/internal/planner"
	"gentianstand/internal/spec"
	"gentianstand/internal/worker"
)

// coreDriver executes a stream with the planner's Core and plays the part of
// all owners of workers.
type coreDriver struct {
	*mixSite
	core     *planner.Core
	epoch    time.Time
	byWorker map[string]map[worker.TaskRef]*mixTask
	ended    map[string][]worker.TaskStatus
	dirty    map[string]bool
	sequence uint64
	waiting  int
}

func runOurs(u mixUser, stream mixStream) mixResult {
	d := &coreDriver{
		mixSite: newMixSite(u, stream), epoch: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		byWorker: map[string]map[worker.TaskRef]*mixTask{}, ended: map[string][]worker.TaskStatus{}, dirty: map[string]bool{},
	}
	d.core = planner.NewCore(nil, d.epoch)
	d.core.CheckRecovery(nil, nil)
	d.core.Apply(1, mixText(u, stream), "test", d.epoch)
	for _, n := range mixNodes(u) {
		d.byWorker[n.ID] = map[worker.TaskRef]*mixTask{}
		d.dirty[n.ID] = true
	}
	next := 0
	for now := time.Duration(0); now < mixTimeLimit && (next < len(stream.jobs) || d.waiting > 0 || len(d.running) > 0); now += mixTick {
		d.endTasks(now)
		d.report(now)
		for ; next < len(stream.jobs) && stream.jobs[next].at <= now; next++ {
			name := stream.workloads[stream.jobs[next].workload].Name
			d.core.Submit(name, fmt.Sprintf("%s-j%d", name, next), "test", d.epoch.Add(now), func(error) {})
			d.waiting += len(stream.jobs[next].tasks)
		}
		d.decide(now)
		d.measure(d.waiting > 0 && now < mixLength)
	}
	return d.result()
}

func mixText(u mixUser, stream mixStream) *spec.Text {
	text := &spec.Text{Workloads: stream.workloads}
	for i := range 6 {
		quota := u.capacity.Times(int64(u.workers / 4))
		text.Teams = append(text.Teams, spec.Team{Name: fmt.Sprintf("team%d", i), Quota: quota, Weight: 1, Borrow: true})
	}
	return text
}

func (d *coreDriver) endTasks(now time.Duration) {
	for id, tasks := range d.byWorker {
		for ref, t := range tasks {
			if t.ends <= now {
				d.end(id, ref, t, worker.Succeeded)
			}
		}
	}
}

func (d *coreDriver) end(id string, ref worker.TaskRef, t *mixTask, state worker.TaskState) {
	delete(d.byWorker[id], ref)
	delete(d.running, [2]int{t.job, t.index})
	d.ended[id] = append(d.ended[id], d.status(ref, state))
	d.dirty[id] = true
}

func (d *coreDriver) status(ref worker.TaskRef, state worker.TaskState) worker.TaskStatus {
	w := d.stream.workloads[d.stream.jobs[jobOf(ref)].workload]
	return worker.TaskStatus{Ref: ref, Workload: w.Name, State: state, Need: w.Need, Used: w.Need}
}

func jobOf(ref worker.TaskRef) int {
	_, n, _ := strings.Cut(ref.Run, "-j")
	job, _ := strconv.Atoi(n)
	return job
}

func (d *coreDriver) report(now time.Duration) {
	for _, n := range mixNodes(d.user) {
		if !d.dirty[n.ID] {
			continue
		}
		delete(d.dirty, n.ID)
		d.sequence++
		r := fleet.Report{
			Worker: n.ID, Shard: n.Rack, Epoch: 1, Sequence: d.sequence, Region: n.Region, Zone: n.Zone, Rack: n.Rack,
			Capacity: n.Capacity, State: fleet.Ready, Boot: "b", Tasks: d.ended[n.ID],
		}
		for ref := range d.byWorker[n.ID] {
			r.Tasks = append(r.Tasks, d.status(ref, worker.Running))
		}
		d.ended[n.ID] = nil
		d.core.Report(r, d.epoch.Add(now))
	}
}

// decide runs four cycles of the Core within one tick.
func (d *coreDriver) decide(now time.Duration) {
	for range 4 {
		d.core.Decide(d.epoch.Add(now), false)
		batch, err := d.core.Changes()
		if err != nil {
			panic(err)
		}
		d.core.Committed(batch)
		for _, a := range d.core.Outbox() {
			d.execute(a, now)
		}
		d.report(now)
	}
	d.core.Events()
}

func (d *coreDriver) execute(a fleet.Assignment, now time.Duration) {
	for _, s := range a.Stop {
		t, ok := d.byWorker[a.Worker][s.Ref]
		if !ok {
			d.ended[a.Worker] = append(d.ended[a.Worker], d.status(s.Ref, worker.Refused))
			d.dirty[a.Worker] = true
			continue
		}
		if s.Action == worker.Throttle {
			continue
		}
		t.left = t.ends - now
		d.waiting++
		d.end(a.Worker, s.Ref, t, worker.Stopped)
	}
	for _, s := range a.Start {
		if _, known := d.byWorker[a.Worker][s.Ref]; known {
			continue
		}
		job := jobOf(s.Ref)
		j := d.stream.jobs[job]
		t := &mixTask{job: job, index: s.Ref.Index, submitted: j.at, left: j.tasks[s.Ref.Index]}
		d.byWorker[a.Worker][s.Ref] = t
		d.waiting--
		d.start(t, now)
		d.dirty[a.Worker] = true
	}
}
