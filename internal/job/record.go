// Package job holds what a caller submits and what is kept of it: the record
// of a job, written once when the job is accepted, and its progress, rewritten
// as tasks end. Both are encoded as versioned CBOR for rows of the store.
package job

import (
	"time"

	"gentianstand/internal/packed"
)

// Record is one accepted job. It never changes after it was stored, so every
// instance may keep copies. The queue's policy is copied into it: a job goes on
// under the policy it was accepted with.
type Record struct {
	// ID is the caller's id, 16 hexadecimal digits.
	ID string `cbor:"1,keyasint"`
	// Queue is the name of the queue that accepted the job.
	Queue string `cbor:"2,keyasint"`
	// Service names the pool of workers that run the tasks.
	Service string `cbor:"3,keyasint"`
	// Priority orders queues; 0 comes first and may preempt others.
	Priority int `cbor:"4,keyasint,omitempty"`
	// MaxAttempts is how many failed runs end a task, and with it the job.
	MaxAttempts int `cbor:"5,keyasint,omitempty"`
	// Stretch times the ideal duration, plus Target, is the objective.
	Stretch float64 `cbor:"6,keyasint,omitempty"`
	// Target is the part of the objective that does not depend on the work.
	Target time.Duration `cbor:"7,keyasint,omitempty"`
	// Advice says that tasks start only with a placement ticket.
	Advice *AdviceCost `cbor:"8,keyasint,omitempty"`
	// AcceptedAt is the wall clock of the accepting instance.
	AcceptedAt time.Time `cbor:"9,keyasint"`
	// Spec is the opaque text that every task is started with.
	Spec packed.Text `cbor:"10,keyasint"`
	// Steps are the stages of one occurrence.
	Steps []Step `cbor:"11,keyasint"`
	// Schedule repeats the steps; nil runs them once, at once.
	Schedule *Schedule `cbor:"12,keyasint,omitempty"`
	// Withdrawn marks the record of a job that was cancelled before it was
	// known. It keeps a delayed write of the submission from taking effect.
	Withdrawn bool `cbor:"13,keyasint,omitempty"`
	// Submission is drawn for each submission by a caller, so that an instance can
	// tell the record that it wrote itself from that of a repeat.
	Submission uint64 `cbor:"14,keyasint,omitempty"`
	// Ended says that the job has ended some time ago, and that its text and steps were
	// dropped: the record only keeps a delayed repeat of the submission from running.
	Ended bool `cbor:"15,keyasint,omitempty"`
	// Workspace is whose job it is; empty where its queue asked for no key.
	Workspace string `cbor:"16,keyasint,omitempty"`
	// CatalogVersion is the version of the configuration under which it was accepted.
	CatalogVersion uint64 `cbor:"17,keyasint,omitempty"`
}

// Occurrences returns how many times the steps run.
func (r *Record) Occurrences() int {
	if r.Schedule == nil {
		return 1
	}
	return r.Schedule.Count
}

// DueAt returns when an occurrence may start; the zero time means at once.
func (r *Record) DueAt(occurrence int) time.Time {
	if r.Schedule == nil {
		return time.Time{}
	}
	return r.Schedule.FirstAt.Add(time.Duration(occurrence) * r.Schedule.Every)
}
