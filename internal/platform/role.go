package platform

// Role tells what an instance is for.
type Role string

// The roles in the platform's list.
const (
	RoleWorker Role = "worker"
	RoleEntry  Role = "entry"
)
