// Package job defines the stored form of jobs: the record, written once when a job is
// accepted, and the progress, rewritten as tasks end. Both are encoded as versioned CBOR
// for rows of the store.
package job

import (
	"time"

	"gentianstand/internal/compressed"
)

// Record is an accepted job. It is immutable once stored, so every instance may cache it.
// The queue's policy is copied into the record: a job keeps the policy it was accepted
// under.
type Record struct {
	// ID is the id that the caller chose, 16 hexadecimal digits.
	ID string `cbor:"1,keyasint"`
	// Queue is the name of the queue that accepted the job.
	Queue string `cbor:"2,keyasint"`
	// Service names the pool of workers that run the tasks.
	Service string `cbor:"3,keyasint"`
	// Priority orders queues; 0 is the highest and may preempt the others.
	Priority int `cbor:"4,keyasint,omitempty"`
	// MaxAttempts is the number of failed runs after which a task fails, and with it the
	// job.
	MaxAttempts int `cbor:"5,keyasint,omitempty"`
	// Stretch and Target define the objective for the duration of the job: Stretch times
	// its ideal duration, plus Target.
	Stretch float64 `cbor:"6,keyasint,omitempty"`
	// Target is the part of the objective that does not depend on the work.
	Target time.Duration `cbor:"7,keyasint,omitempty"`
	// Advice, if not nil, requires a placement ticket for every start of a task.
	Advice *AdviceCost `cbor:"8,keyasint,omitempty"`
	// AcceptedAt is the time of acceptance on the accepting instance's wall clock.
	AcceptedAt time.Time `cbor:"9,keyasint"`
	// Spec is the opaque text that is passed to every task at its start.
	Spec compressed.Text `cbor:"10,keyasint"`
	// Steps are the stages of one occurrence.
	Steps []Step `cbor:"11,keyasint"`
	// Schedule repeats the steps; if nil, they run once, immediately.
	Schedule *Schedule `cbor:"12,keyasint,omitempty"`
	// Withdrawn marks the tombstone of a job that was cancelled before its submission
	// arrived. It prevents a delayed write of the submission from taking effect.
	Withdrawn bool `cbor:"13,keyasint,omitempty"`
	// Submission is a random number for each submission by a caller. With it an instance
	// can distinguish the record that it wrote from that of a repeated submission.
	Submission uint64 `cbor:"14,keyasint,omitempty"`
	// Ended means that the job ended some time ago and that its spec and steps were
	// dropped. The remaining record only prevents a delayed repeat of the submission from
	// running.
	Ended bool `cbor:"15,keyasint,omitempty"`
	// Workspace is the workspace that owns the job; empty if its queue required no API key.
	Workspace string `cbor:"16,keyasint,omitempty"`
	// CatalogVersion is the version of the configuration that accepted the job.
	CatalogVersion uint64 `cbor:"17,keyasint,omitempty"`
}

// Occurrences returns the number of times that the steps run.
func (r *Record) Occurrences() int {
	if r.Schedule == nil {
		return 1
	}
	return r.Schedule.Count
}

// DueAt returns the earliest start of an occurrence; the zero time means immediately.
func (r *Record) DueAt(occurrence int) time.Time {
	if r.Schedule == nil {
		return time.Time{}
	}
	return r.Schedule.FirstAt.Add(time.Duration(occurrence) * r.Schedule.Every)
}
