package job

import (
	"fmt"
	"strconv"
	"strings"
)

// PartTasks is the number of consecutive tasks of a stage whose progress forms one part. In a row of
// 65,536 bytes it leaves about 1,000 bytes for each task.
const PartTasks = 64

// PartID identifies a part of a job's progress: the unfinished tasks of a stage among PartTasks ones.
type PartID struct {
	Occurrence int
	Step       int
	// First is the index of the first task.
	First int
}

// String returns the text form of the id, occurrence.step.first.
func (p PartID) String() string {
	return fmt.Sprintf("%d.%d.%d", p.Occurrence, p.Step, p.First)
}

// ParsePartID parses the text form of a PartID.
func ParsePartID(s string) (PartID, error) {
	fields := strings.Split(s, ".")
	if len(fields) != 3 {
		return PartID{}, fmt.Errorf("part %q: want occurrence.step.first", s)
	}
	var numbers [3]int
	for i, f := range fields {
		n, err := strconv.Atoi(f)
		if err != nil || n < 0 {
			return PartID{}, fmt.Errorf("part %q: %q is not a number", s, f)
		}
		numbers[i] = n
	}
	return PartID{Occurrence: numbers[0], Step: numbers[1], First: numbers[2]}, nil
}
