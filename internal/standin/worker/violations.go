package worker

import (
	"fmt"
	"slices"
)

// Violations lists every promise that the events show broken: a task that ran
// in two places at once, a key that ran twice, use above capacity or slots.
func Violations(events []Event) []string {
	events = slices.Clone(events)
	slices.SortStableFunc(events, func(a, b Event) int { return a.At.Compare(b.At) })
	var broken []string
	runningOn := map[string]string{}
	keys := map[string]int{}
	for _, e := range events {
		switch e.Type {
		case TaskStarted:
			if on, ok := runningOn[e.Task]; ok {
				broken = append(broken, fmt.Sprintf("task %s started on %s while running on %s", e.Task, e.Worker, on))
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
				broken = append(broken, fmt.Sprintf("key %s ran %d times", e.Key, keys[e.Key]))
			}
		case OverCapacity, OverSlots:
			broken = append(broken, fmt.Sprintf("%s on %s", e.Type, e.Worker))
		}
	}
	return broken
}
