package spec

import "gentianstand/internal/resource"

// Team is a group of operators with a quota.
type Team struct {
	Name string `json:"name"`
	// Quota is the amount of resources to which the team's tasks together are entitled.
	Quota resource.Amount `json:"quota"`
	// Weight is the team's relative share when teams compete; the default is 1.
	Weight int64 `json:"weight"`
	// Borrow allows the team to exceed its quota while no other team needs the
	// resources. Borrowed resources can be reclaimed.
	Borrow bool `json:"borrow"`
	// Protected prevents the team's tasks from being preempted for other teams.
	Protected bool `json:"protected"`
}
