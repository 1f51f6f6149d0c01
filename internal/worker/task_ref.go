package worker

import "fmt"

// TaskRef identifies one attempt of one task.
type TaskRef struct {
	Run     string `json:"run"`
	Index   int    `json:"index"`
	Attempt int    `json:"attempt"`
}

// String returns run/index#attempt.
func (r TaskRef) String() string {
	return fmt.Sprintf("%s/%d#%d", r.Run, r.Index, r.Attempt)
}
