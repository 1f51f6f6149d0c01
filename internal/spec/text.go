package spec

// Text is a parsed and validated configuration text.
type Text struct {
	Teams     []Team     `json:"teams"`
	Workloads []Workload `json:"workloads"`
}

// Workload returns the workload with the given name.
func (t *Text) Workload(name string) (Workload, bool) {
	for _, w := range t.Workloads {
		if w.Name == name {
			return w, true
		}
	}
	return Workload{}, false
}

// Team returns the team with the given name.
func (t *Text) Team(name string) (Team, bool) {
	for _, team := range t.Teams {
		if team.Name == name {
			return team, true
		}
	}
	return Team{}, false
}
