package entry

// InstanceStatus is the state of one instance as another instance sees it.
type InstanceStatus struct {
	Instance string `json:"instance"`
	Zone     string `json:"zone"`
	Address  string `json:"address"`
	// Config is the number of the configuration in force on the instance.
	Config   uint64 `json:"config"`
	Stopping bool   `json:"stopping"`
	// Reachable is set if the instance has responded recently.
	Reachable bool `json:"heard"`
}
