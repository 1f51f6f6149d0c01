package entry

// InstanceStatus is one instance as seen from another.
type InstanceStatus struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
	// Config is the configuration in force there.
	Config   uint64 `json:"config"`
	Stopping bool   `json:"stopping"`
	// Reachable says that it has answered lately.
	Reachable bool `json:"heard"`
}
