package platform

// Role is the purpose of an instance.
type Role string

// The roles in the platform's list of instances.
const (
	RoleWorker Role = "worker"
	RoleEntry  Role = "entry"
)
