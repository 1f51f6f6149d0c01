package job

import (
	"fmt"
	"regexp"
)

// The limits of one job. A row of the store holds 64 KiB; next to a spec of 4,000 bytes
// it has space for a few hundred steps of about 100 bytes each.
const (
	MaxSpecBytes   = 4000
	MaxSteps       = 256
	MaxTasks       = 10000
	MaxOccurrences = 10000
)

var idPattern = regexp.MustCompile(`^[0-9a-f]{16}$`)

// ValidID reports whether id is 16 lower-case hexadecimal digits.
func ValidID(id string) bool { return idPattern.MatchString(id) }

// Validate returns an error that names the first invalid field of a submitted record, or
// nil.
func (r *Record) Validate() error {
	if len(r.Spec) > MaxSpecBytes {
		return fmt.Errorf("spec: %d bytes; at most %d", len(r.Spec), MaxSpecBytes)
	}
	if len(r.Steps) == 0 || len(r.Steps) > MaxSteps {
		return fmt.Errorf("steps: %d of them; 1 to %d allowed", len(r.Steps), MaxSteps)
	}
	if s := r.Schedule; s != nil && (s.Count < 1 || s.Count > MaxOccurrences || s.Every < 0) {
		return fmt.Errorf("repeats: %d every %v; 1 to %d, with a period that is not negative", s.Count, s.Every, MaxOccurrences)
	}
	tasks := 0
	for i := range r.Steps {
		if err := r.Steps[i].validate(i); err != nil {
			return fmt.Errorf("steps[%d]: %w", i, err)
		}
		tasks += r.Steps[i].Count
	}
	if tasks > MaxTasks {
		return fmt.Errorf("steps: %d tasks in all; at most %d", tasks, MaxTasks)
	}
	return nil
}

// ValidateSubmission returns an error that names the first invalid field of a record to be stored, or nil.
// Bounds that were added later are checked here only: a record that is stored must stay readable.
func (r *Record) ValidateSubmission() error {
	if err := r.Validate(); err != nil {
		return err
	}
	if r.LongRunning() && !r.AllMayExist() {
		return fmt.Errorf("repeats: %d tasks times %d occurrences, which run until the job is cancelled; at most %d tasks in all", r.tasks(), r.Occurrences(), MaxTasks)
	}
	return nil
}

// AllMayExist reports whether the tasks of all occurrences together are within the bound of one job. If
// tasks are long-running, occurrences do not end and all of them exist at the same time.
func (r *Record) AllMayExist() bool { return r.tasks()*r.Occurrences() <= MaxTasks }

// tasks returns the number of tasks of one occurrence.
func (r *Record) tasks() int {
	n := 0
	for i := range r.Steps {
		n += r.Steps[i].Count
	}
	return n
}

// validate checks one step. A step may depend on earlier steps only, so dependencies cannot
// form a cycle.
func (s *Step) validate(index int) error {
	if s.Count < 1 {
		return fmt.Errorf("count is %d; at least 1", s.Count)
	}
	if s.Need.MilliCPU < 0 || s.Need.MemoryMiB < 0 || s.Need.Accelerators < 0 {
		return fmt.Errorf("needs %v; no amount may be negative", s.Need)
	}
	if s.MaxPerWorker < 0 || s.MaxUnavailable < 0 || s.Estimate < 0 || s.TailLatencyTarget < 0 {
		return fmt.Errorf("a limit, estimate or target is negative")
	}
	for _, before := range s.DependsOn {
		if before < 0 || before >= index {
			return fmt.Errorf("after names step %d; only earlier steps are allowed", before)
		}
	}
	return nil
}
