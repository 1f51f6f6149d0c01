package admission

import "time"

// Verdict is the decision on a job, with what decided it.
type Verdict struct {
	Refuse bool
	// NoMemory is set if the job is refused because the owner has no memory for it.
	NoMemory bool
	// bytes is the memory that was reserved for the job; see Controller.Settle.
	bytes int64
	// Late is set if the job is accepted although it is expected to be late.
	Late  bool
	Class Class
	// Wait is the expected wait of the job, and Limit the longest one with which it is accepted.
	Wait, Limit time.Duration
	// ViewAge is the age of the view, and Added the part of Wait that this and other instances
	// are assumed to have admitted since.
	ViewAge, Added time.Duration
}
