package live

// Instance is the row by which a process holds its session.
type Instance struct {
	Process Process `json:"process"`
	// Address is for callers, PeerAddress for other instances; host:port.
	Address     string `json:"address"`
	PeerAddress string `json:"peer_address"`
	Region      string `json:"region"`
	Zone        string `json:"zone"`
	// Stopping says that the process wants no shards any more.
	Stopping bool `json:"stopping"`
	// HeartbeatCount grows with each renewal so that the row's version changes.
	HeartbeatCount uint64 `json:"beat"`
	// Electors are the processes whose majority can confirm to this one that
	// the table is down for everybody; see package membership.
	Electors []Process `json:"electors"`
	// Replaced is the process whose row this one took over, with its
	// electors, so that it can still be fenced.
	Replaced         Process   `json:"replaced"`
	ReplacedElectors []Process `json:"replaced_electors,omitempty"`
	// ConfigVersion is the configuration in force at this process.
	ConfigVersion uint64 `json:"config_version"`
	// Version is the row's version as read; it is not stored.
	Version uint64 `json:"-"`
}
