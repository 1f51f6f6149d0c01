package cellpeer

import (
	"context"

	"gentianstand/internal/admission"
	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/job"
)

// CellOwner is the part of an instance that owns cells, as other instances call it.
type CellOwner interface {
	// Ping reports whether this instance owns the cell. It records the term that the caller
	// knows and the claim that the caller announces.
	Ping(r *cellpb.PingRequest) *cellpb.PingReply
	// TakeOver makes this instance the owner immediately.
	TakeOver(ctx context.Context, from string, term uint64) bool
	// Submitted, Cancelled, Status and Waiting return false if this instance does not own
	// the cell or has not loaded it yet.
	Submitted(r *job.Record) bool
	// AdmissionView returns the state by which new jobs are decided on; ok is false if this
	// instance does not own the cell or has not loaded it yet.
	AdmissionView() (view admission.View, ok bool)
	Cancelled(id string) bool
	Status(id string) (status job.Status, owner bool)
	Waiting(queue string) (jobs int, owner bool)
}
