package soak

import (
	"fmt"
	"math/rand"
	"net/http"
	"time"
)

// longRunningWork is a number of jobs with long-running tasks, which run from before the first fault to
// the end of a soak.
type longRunningWork struct {
	jobs, tasks int
	// maxPerWorker is the maximum number of tasks of a job on one worker; 0 means no limit.
	maxPerWorker int
}

// submitLongRunning submits the jobs of long-running tasks.
func (c *callers) submitLongRunning(rnd *rand.Rand) []submission {
	var list []submission
	for range c.world.shape.longRunning.jobs {
		list = append(list, c.submitLongRunningJob(rnd))
	}
	return list
}

// submitLongRunningJob submits a job of long-running tasks until it is accepted.
func (c *callers) submitLongRunningJob(rnd *rand.Rand) submission {
	s := submission{id: fmt.Sprintf("%08x%08x", rnd.Uint32(), rnd.Uint32()), queue: "advised", workspace: "north"}
	c.world.judge.Submitted(s.id, s.workspace, false)
	work := c.world.shape.longRunning
	body := fmt.Sprintf(`{"spec":"forever","steps":[{"count":%d,"cpu":%d,"mem_mb":10,"long_running":true,"max_per_server":%d}]}`, work.tasks, taskCPU, work.maxPerWorker)
	for range 50 {
		if status, _ := c.call(http.MethodPost, s, c.world.workspaces.valid(s.workspace), body, rnd); status == http.StatusOK {
			return s
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.world.judge.AddViolation("the long-running job %s was not accepted", s.id)
	return s
}

// longRunningTasksRun reports whether all tasks of the long-running jobs run. A job under which
// workers crashed may have failed instead.
func (c *callers) longRunningTasksRun(jobs []submission, rnd *rand.Rand) bool {
	for _, s := range jobs {
		if !c.tasksRun(s) && !c.failedByCrashes(s, rnd) {
			return false
		}
	}
	return true
}

// tasksRun reports whether all tasks of a long-running job run.
func (c *callers) tasksRun(s submission) bool {
	for index := range c.world.shape.longRunning.tasks {
		if !c.world.judge.Running(fmt.Sprintf("%s.0.0.%d", s.id, index)) {
			return false
		}
	}
	return true
}

// failedByCrashes reports whether a job has failed because workers crashed under it.
func (c *callers) failedByCrashes(s submission, rnd *rand.Rand) bool {
	if !c.world.judge.IsPoisonJob(s.id) {
		return false
	}
	_, state := c.call(http.MethodGet, s, c.world.workspaces.valid(s.workspace), "", rnd)
	return state == "failed"
}
