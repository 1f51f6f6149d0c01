package node

import (
	"errors"
	"fmt"
	"net"
	"time"

	"gentianstand/internal/access"
	"gentianstand/internal/cell"
)

// Settings are what an instance learns at its start.
type Settings struct {
	Name string
	Zone string
	// The addresses to listen on: callers, the balancer's question whether this
	// instance is ready, other instances, and metrics.
	CallerListen  string
	ReadyListen   string
	PeerListen    string
	MetricsListen string
	// PeerAdvertise is where other instances reach this one; empty if that is
	// PeerListen.
	PeerAdvertise string
	// Store and Adviser are addresses of the platform's services.
	Store   string
	Adviser string
	// MaxLease, StopGrace, EarlyStart and RemoteDataFactor are figures of the workers; see cell.Settings.
	MaxLease   time.Duration
	StopGrace  time.Duration
	EarlyStart time.Duration
	// RemoteDataFactor is how many times as long a task takes far from its data.
	RemoteDataFactor float64
	// Fleet is the address of the platform's list of machines, or empty. MaintenanceDuration
	// and HolderLease are its figures; see cellowner.UpkeepDeps.
	Fleet               string
	MaintenanceDuration time.Duration
	HolderLease         time.Duration
	// Access is what the platform demands of callers' calls.
	Access access.Policy
	// TerminationGrace is the time between a request to stop and the end by force.
	TerminationGrace time.Duration
	// Disabled names the mechanisms of the planner that are switched off.
	Disabled cell.MechanismSet
	// LinkMbps is what the machine's link carries; 0 is no limit.
	LinkMbps float64
	// AcrossPartitions says that the store takes transactions over several partitions.
	AcrossPartitions bool
	// Cores is the share of a core the process may use, times their number.
	Cores float64
	// MemoryMiB is the memory the process may use; 0 is no limit.
	MemoryMiB int64
}

// namedAddress is an address and what it is for.
type namedAddress struct{ name, value string }

// Validate reports everything that is wrong with the settings.
func (s *Settings) Validate() error {
	var problems []error
	if s.Name == "" {
		problems = append(problems, errors.New("the name of the instance is empty"))
	}
	addresses := []namedAddress{
		{"address for callers", s.CallerListen}, {"address for readiness", s.ReadyListen},
		{"address for instances", s.PeerListen}, {"address for metrics", s.MetricsListen},
		{"address of the store", s.Store},
	}
	if s.PeerAdvertise != "" {
		addresses = append(addresses, namedAddress{"address told to instances", s.PeerAdvertise})
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			problems = append(problems, fmt.Errorf("%s: %w", a.name, err))
		}
	}
	if s.MaxLease <= 0 {
		problems = append(problems, fmt.Errorf("the longest lease is %v; it must be positive", s.MaxLease))
	}
	if s.Access.RevokedWithin < 0 {
		problems = append(problems, fmt.Errorf("removed keys have to stop working within %v; it must not be negative", s.Access.RevokedWithin))
	}
	return errors.Join(problems...)
}
