package cell

import (
	"time"

	"github.com/sirupsen/logrus"
)

// inferPredecessorsDone marks the stages before one that was started as done: an owner starts a stage
// only then. The ends of their runs may have been lost with their workers. A task of them that ran
// again would look to a later owner as if the next stage had not been started.
func (c *Cell) inferPredecessorsDone(s *stage, now time.Time) {
	j := s.job
	if j.final != "" {
		return
	}
	for _, before := range s.predecessors {
		if before.isDone() {
			continue
		}
		c.log.WithFields(logrus.Fields{"stage": before.id.String(), "started": s.id.String()}).Info("stage_done_inferred")
		for _, t := range before.tasks {
			c.taskDone(t, nil, now)
		}
		c.dirtyJobs[j] = struct{}{}
		c.inferPredecessorsDone(before, now)
	}
}
