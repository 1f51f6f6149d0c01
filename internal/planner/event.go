package planner

// Event is an occurrence to be logged and counted.
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

// Events returns the events since the last call and clears them.
func (c *Core) Events() []Event {
	events := c.events
	c.events = nil
	return events
}
