package cellleader

import (
	"time"

	"gentianstand/internal/admission"
	"gentianstand/internal/cellowner"
	"gentianstand/internal/job"
)

// Owner returns the address of the owner of the cell, as far as known. self is true if the owner
// is this instance.
func (l *Leader) Owner() (address string, self bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.known.Address, l.term != nil
}

// LocalOwner returns the owner of this instance if it has loaded the cell and its ownership was
// confirmed recently, or nil otherwise. An owner that may have been superseded has outdated
// state, and updates that are sent to it are lost.
func (l *Leader) LocalOwner() *cellowner.Owner {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.term == nil || !l.term.loaded.Load() || !l.term.Confirmed() {
		return nil
	}
	return l.term.owner
}

// Submitted implements cellpeer.CellOwner.
func (l *Leader) Submitted(r *job.Record) bool {
	o := l.LocalOwner()
	if o != nil {
		o.Submitted(r)
	}
	return o != nil
}

// AdmissionView implements cellpeer.CellOwner.
func (l *Leader) AdmissionView() (admission.View, bool) {
	o := l.LocalOwner()
	if o == nil {
		return admission.View{}, false
	}
	return o.Cell().AdmissionView(time.Now()), true
}

// Cancelled implements cellpeer.CellOwner.
func (l *Leader) Cancelled(id string) bool {
	o := l.LocalOwner()
	if o != nil {
		o.Cancelled(id)
	}
	return o != nil
}

// Status implements cellpeer.CellOwner. The state is empty for an unknown job.
func (l *Leader) Status(id string) (job.Status, bool) {
	o := l.LocalOwner()
	if o == nil {
		return job.Status{}, false
	}
	status, _ := o.Cell().Status(id)
	return status, true
}

// Waiting implements cellpeer.CellOwner.
func (l *Leader) Waiting(queue string) (int, bool) {
	o := l.LocalOwner()
	if o == nil {
		return 0, false
	}
	return o.Cell().Waiting(queue), true
}
