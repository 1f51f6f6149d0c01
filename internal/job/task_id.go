package job

import (
	"fmt"
	"strconv"
	"strings"
)

// TaskID identifies a task. Its text form is job.occurrence.step.index.
type TaskID struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the task's name.
func (t TaskID) String() string {
	b := make([]byte, 0, len(t.Job)+12)
	b = append(b, t.Job...)
	for _, n := range [...]int{t.Occurrence, t.Step, t.Index} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// Stage returns the stage that the task belongs to.
func (t TaskID) Stage() StageID {
	return StageID{Job: t.Job, Occurrence: t.Occurrence, Step: t.Step}
}

// ParseTaskID parses the text form of a task's id.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != 4 || parts[0] == "" {
		return TaskID{}, fmt.Errorf("task name %q: want job.occurrence.step.index", s)
	}
	var numbers [3]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task name %q: %q is not a number", s, parts[i+1])
		}
		numbers[i] = n
	}
	return TaskID{Job: parts[0], Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}
