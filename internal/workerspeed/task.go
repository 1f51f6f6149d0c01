package workerspeed

import "time"

// Task describes what a run is compared with.
type Task struct {
	Worker, Kind string
	Queue        string
	Estimate     time.Duration
	Siblings     *Siblings
}
