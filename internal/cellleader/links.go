package cellleader

import "time"

// Links are the connections over which an owner reaches workers through this instance, and over
// which this instance reaches workers through others while it owns the cell. They carry several
// frames per second. Each frame proves as much as a ping, which it saves.
type Links interface {
	// Learned reports that a term has an owner. Orders of earlier terms are refused from then on.
	Learned(term uint64)
	// HeardOwner returns when the owner of a term last sent a frame to this instance, or the zero
	// time.
	HeardOwner(term uint64) time.Time
	// Confirming returns the instances that have confirmed since the given time that they know of
	// no later term.
	Confirming(term uint64, since time.Time) []string
}

// noLinks is used by instances without relays.
type noLinks struct{}

func (noLinks) Learned(uint64)                        {}
func (noLinks) HeardOwner(uint64) time.Time           { return time.Time{} }
func (noLinks) Confirming(uint64, time.Time) []string { return nil }
