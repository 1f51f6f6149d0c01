package soak

import (
	"fmt"
	"math/rand"
	"net/http"
	"time"
)

// longRunningTasks is the number of tasks that run from before the first fault to the end of a
// soak.
const longRunningTasks = 2

// submitLongRunning submits a job of long-running tasks until it is accepted.
func (c *callers) submitLongRunning(rnd *rand.Rand) submission {
	s := submission{id: fmt.Sprintf("%08x%08x", rnd.Uint32(), rnd.Uint32()), queue: "advised", workspace: "north"}
	c.world.judge.Submitted(s.id, s.workspace, false)
	body := fmt.Sprintf(`{"spec":"forever","steps":[{"count":%d,"cpu":%d,"mem_mb":10,"long_running":true}]}`, longRunningTasks, taskCPU)
	for range 50 {
		if status, _ := c.call(http.MethodPost, s, c.world.workspaces.valid(s.workspace), body, rnd); status == http.StatusOK {
			return s
		}
		time.Sleep(100 * time.Millisecond)
	}
	c.world.judge.AddViolation("the long-running job %s was not accepted", s.id)
	return s
}

// longRunningTasksRun reports whether all tasks of a long-running job run. A job under which
// workers crashed may have failed instead.
func (c *callers) longRunningTasksRun(s submission, rnd *rand.Rand) bool {
	if c.world.judge.IsPoisonJob(s.id) {
		_, state := c.call(http.MethodGet, s, c.world.workspaces.valid(s.workspace), "", rnd)
		if state == "failed" {
			return true
		}
	}
	for index := range longRunningTasks {
		if !c.world.judge.Running(fmt.Sprintf("%s.0.0.%d", s.id, index)) {
			return false
		}
	}
	return true
}
