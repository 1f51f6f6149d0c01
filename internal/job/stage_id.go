package job

import "fmt"

// StageID names one step of one occurrence of a job.
type StageID struct {
	Job        string
	Occurrence int
	Step       int
}

// String returns the stage's name, which is also how the placement adviser
// knows it.
func (s StageID) String() string {
	return fmt.Sprintf("%s.%d.%d", s.Job, s.Occurrence, s.Step)
}
