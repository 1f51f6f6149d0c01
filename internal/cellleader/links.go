package cellleader

import "time"

// Links are the connections over which an owner reaches workers through this instance, and
// this instance through others while it owns the cell. They carry frames several times a
// second, which tell as much as a ping and save it.
type Links interface {
	// Learned tells that there is an owner of a term: the orders of earlier ones are
	// refused from now on.
	Learned(term uint64)
	// HeardOwner returns when the owner of a term last sent something here, or the zero
	// time.
	HeardOwner(term uint64) time.Time
	// Confirming returns the instances that knew of no later term at some time since.
	Confirming(term uint64, since time.Time) []string
}

// noLinks is for instances without relays.
type noLinks struct{}

func (noLinks) Learned(uint64)                        {}
func (noLinks) HeardOwner(uint64) time.Time           { return time.Time{} }
func (noLinks) Confirming(uint64, time.Time) []string { return nil }
