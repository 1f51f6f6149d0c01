package spec

import "gentianstand/internal/resource"

// Team is a group of operators with a quota.
type Team struct {
	Name string `json:"name"`
	// Quota is what the team's tasks are entitled to together.
	Quota resource.Amount `json:"quota"`
	// Weight is the team's share when teams compete; 1 is usual.
	Weight int64 `json:"weight"`
	// Borrow lets the team go above its quota while nobody else needs the
	// room; what it borrowed can be taken back.
	Borrow bool `json:"borrow"`
	// Protected keeps the team's tasks from being preempted by others.
	Protected bool `json:"protected"`
}
