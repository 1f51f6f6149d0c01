package worker

import (
	"fmt"
	"slices"
)

// Violations returns the violations of the scheduler's guarantees in a record of events: a
// task that ran on two workers at once, an idempotency key whose request ran more than once,
// and use above a worker's capacity or slots.
func Violations(events []Event) []string {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	var violations []string
	runningOn := map[string]string{}
	keys := map[string]int{}
	for _, e := range events {
		switch e.Type {
		case TaskStarted:
			if on, ok := runningOn[e.Task]; ok {
				violations = append(violations, fmt.Sprintf("task %s started on %s while running on %s", e.Task, e.Worker, on))
			}
			runningOn[e.Task] = e.Worker
		case TaskEnded:
			delete(runningOn, e.Task)
		case RequestRan:
			if e.Key == "" {
				continue
			}
			keys[e.Key]++
			if keys[e.Key] > 1 {
				violations = append(violations, fmt.Sprintf("requests with key %s ran %d times", e.Key, keys[e.Key]))
			}
		case OverCapacity, OverSlots:
			violations = append(violations, fmt.Sprintf("%s on %s", e.Type, e.Worker))
		}
	}
	return violations
}
