package spec

import "gentianstand/internal/resource"

// Team is a group of operators with a quota.
type Team struct {
	Name string `json:"name"`
	// Quota is what the team's tasks may use together.
	Quota resource.Amount `json:"quota"`
	// Weight is the team's share when teams compete; 1 is usual.
	Weight int64 `json:"weight"`
	// Protected keeps the team's tasks from being preempted by others.
	Protected bool `json:"protected"`
}
