package cellleader

import "time"

// Links are the connections over which an owner reaches workers through this instance, and over
// which this instance reaches workers through others while it owns the cell. They carry several
// frames per second. Each frame proves as much as a ping, which it saves.
type Links interface {
	// ObserveTerm records that a term has an owner. Orders of earlier terms are refused from
	// then on.
	ObserveTerm(term uint64)
	// OwnerLastSeen returns when the owner of a term last sent a frame to this instance, or the
	// zero time.
	OwnerLastSeen(term uint64) time.Time
	// ConfirmedBy returns the instances that have confirmed since the given time that they know of
	// no later term.
	ConfirmedBy(term uint64, since time.Time) []string
}

// noLinks is used by instances without relays.
type noLinks struct{}

func (noLinks) ObserveTerm(uint64)                     {}
func (noLinks) OwnerLastSeen(uint64) time.Time         { return time.Time{} }
func (noLinks) ConfirmedBy(uint64, time.Time) []string { return nil }
