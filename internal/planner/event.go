package planner

// Event is something that belongs in the log: one line of key=value pairs.
type Event struct {
	Name   string
	Run    string
	Task   int
	Worker string
	Detail string
}

func (c *Core) event(name, runID string, task int, workerID, detail string) {
	c.events = append(c.events, Event{Name: name, Run: runID, Task: task, Worker: workerID, Detail: detail})
}

// Events returns what happened since the last call.
func (c *Core) Events() []Event {
	events := c.events
	c.events = nil
	return events
}
