package node

import (
	"errors"
	"fmt"
	"net"
	"time"

	"gentianstand/internal/access"
	"gentianstand/internal/cell"
)

// Settings are the settings of an instance, which it gets when it starts.
type Settings struct {
	Name string
	Zone string
	// The addresses to listen on for callers, the load balancer's health checks, other
	// instances, and metrics.
	CallerListen  string
	ReadyListen   string
	PeerListen    string
	MetricsListen string
	// PeerAdvertise is the address under which other instances reach this one. If empty,
	// PeerListen is used.
	PeerAdvertise string
	// Store and Adviser are the addresses of the platform's services.
	Store   string
	Adviser string
	// MaxLease, StopGrace and EarlyStart are properties of the workers; see cell.Settings.
	MaxLease   time.Duration
	StopGrace  time.Duration
	EarlyStart time.Duration
	// RemoteDataFactor is the factor by which a task takes longer when its data is remote.
	RemoteDataFactor float64
	// Fleet is the address of the platform's fleet interface, or empty. MaintenanceDuration
	// and HolderLease are properties of the fleet; see cellowner.MaintenanceDeps.
	Fleet               string
	MaintenanceDuration time.Duration
	HolderLease         time.Duration
	// Access is the platform's access policy for callers.
	Access access.Policy
	// TerminationGrace is the time between a request to stop and the forced termination.
	TerminationGrace time.Duration
	// Disabled contains the planner mechanisms that are switched off.
	Disabled cell.MechanismSet
	// LinkMbps is the bandwidth of the machine's network link in Mbit/s; 0 means no limit.
	LinkMbps float64
	// AcrossPartitions is set if the store supports transactions over several partitions.
	AcrossPartitions bool
	// RowBytes is the maximum size of a value in the store; 0 means store.DefaultRowBytes.
	RowBytes int
	// Cores is the CPU limit of the process in cores: the permitted share of a core times
	// the number of cores.
	Cores float64
	// MemoryMiB is the memory limit of the process; 0 means no limit.
	MemoryMiB int64
	// MaxDescriptors is the limit of the process for open descriptors; 0 means that it is not known.
	MaxDescriptors int
}

// memoryBytes returns the memory limit in bytes; 0 means no limit.
func (s *Settings) memoryBytes() int64 { return s.MemoryMiB << 20 }

// namedAddress is an address together with its purpose, which errors mention.
type namedAddress struct{ name, value string }

// Validate returns all problems of the settings in one error.
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
		addresses = append(addresses, namedAddress{"address advertised to instances", s.PeerAdvertise})
	}
	for _, a := range addresses {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			problems = append(problems, fmt.Errorf("%s: %w", a.name, err))
		}
	}
	if s.MaxDescriptors < 0 {
		problems = append(problems, fmt.Errorf("the limit for descriptors is %d; it must not be negative", s.MaxDescriptors))
	}
	if s.MaxLease <= 0 {
		problems = append(problems, fmt.Errorf("the longest lease is %v; it must be positive", s.MaxLease))
	}
	if s.Access.RevokedWithin < 0 {
		problems = append(problems, fmt.Errorf("the time within which removed keys stop working is %v; it must not be negative", s.Access.RevokedWithin))
	}
	return errors.Join(problems...)
}
