package live

// Instance is the row with which a process holds its session.
type Instance struct {
	Process Process `json:"process"`
	// Address is the host:port for callers, PeerAddress the one for other instances.
	Address     string `json:"address"`
	PeerAddress string `json:"peer_address"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	// Stopping is set if the process accepts no more shards.
	Stopping bool `json:"stopping"`
	// HeartbeatCount increases with each renewal, so that the row's version changes.
	HeartbeatCount uint64 `json:"beat"`
	// Electors are the processes whose majority can confirm to this process that the table
	// is down for all instances; see package membership.
	Electors []Process `json:"electors"`
	// Replaced is the process whose row this process took over, and ReplacedElectors are its
	// electors. They are kept so that it can still be fenced.
	Replaced         Process   `json:"replaced"`
	ReplacedElectors []Process `json:"replaced_electors,omitempty"`
	// ConfigVersion is the number of the configuration in force at this process.
	ConfigVersion uint64 `json:"config_version"`
	// Version is the version of the row that was read; it is not part of the stored value.
	Version uint64 `json:"-"`
}
