package job

import "fmt"

// StageID identifies one step of one occurrence of a job.
type StageID struct {
	Job        string
	Occurrence int
	Step       int
}

// String returns the stage's name. The placement adviser identifies the stage by this name.
func (s StageID) String() string {
	return fmt.Sprintf("%s.%d.%d", s.Job, s.Occurrence, s.Step)
}
