package platform

// Instance is one entry of the platform's list.
type Instance struct {
	ID      string `json:"id"`
	Role    Role   `json:"role"`
	Address string `json:"address"`
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Rack    string `json:"rack"`
	// Leaving says that the platform is about to take the instance away.
	Leaving bool `json:"leaving"`
}
