package platform

// Instance is one entry of the platform's list of instances.
type Instance struct {
	ID      string `json:"id"`
	Role    Role   `json:"role"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	// Leaving means that the platform is about to remove the instance.
	Leaving bool `json:"leaving"`
}
