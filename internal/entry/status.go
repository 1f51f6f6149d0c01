package entry

import (
	"fmt"
	"sort"

	"github.com/gin-gonic/gin"

	"gentianstand/internal/live"
	"gentianstand/internal/planner"
	"gentianstand/internal/routing"
	"gentianstand/internal/spec"
)

// Status is the state of the whole system as one instance sees it.
type Status struct {
	Instance  string                   `json:"instance"`
	Config    uint64                   `json:"config"`
	Planner   string                   `json:"planner"`
	Instances []InstanceStatus         `json:"instances"`
	Shards    []live.Shard             `json:"shards"`
	Drains    []live.Drain             `json:"drains"`
	Slots     map[string]routing.Slots `json:"slots"`
	Runs      []planner.Summary        `json:"runs"`
	// RunsError is the reason why the runs could not be read, or empty.
	RunsError string `json:"runs_error,omitempty"`
}

// status returns the Status that this instance knows. It also works while the table or the
// planner cannot be reached.
func (s *Server) status(c *gin.Context) (any, error) {
	view := s.view()
	st := Status{
		Instance: s.identity.Process.Instance, Config: s.config.Number(),
		Planner: view.Shards[live.PlannerShard].Owner.Instance, Slots: s.router.Slots(),
	}
	for _, inst := range view.Instances {
		st.Instances = append(st.Instances, s.instanceStatus(inst))
	}
	sort.Slice(st.Instances, func(i, j int) bool { return st.Instances[i].Instance < st.Instances[j].Instance })
	for _, shard := range view.Shards {
		st.Shards = append(st.Shards, shard)
	}
	sort.Slice(st.Shards, func(i, j int) bool { return st.Shards[i].Name < st.Shards[j].Name })
	for _, d := range view.Drains {
		st.Drains = append(st.Drains, d)
	}
	runs, err := s.runs.Summaries(callContext(c))
	if err != nil {
		st.RunsError = err.Error()
	}
	st.Runs = runs
	return st, nil
}

func (s *Server) instanceStatus(inst live.Instance) InstanceStatus {
	st := InstanceStatus{Instance: inst.Process.Instance, Zone: inst.Zone, Address: inst.Address, Config: inst.ConfigVersion, Stopping: inst.Stopping}
	if inst.Process == s.identity.Process {
		st.Reachable, st.Config = true, s.config.Number()
	} else if remote, ok := s.hub.Remote(inst.Process.Instance); ok && !remote.LastBeatAt.IsZero() {
		st.Reachable = s.hub.Reachable(inst.Process.Instance)
		st.Config = max(st.Config, remote.ConfigNumber)
	}
	return st
}

// warnings lists the workloads with tasks that are larger than any worker known to this
// instance. They are warnings and not errors, because the fleet changes.
func (s *Server) warnings(text *spec.Text) []string {
	largest := s.largestWorker()
	if largest.IsZero() {
		return nil
	}
	var list []string
	for _, w := range text.Workloads {
		if !w.Need.Fits(largest) {
			list = append(list, fmt.Sprintf("%s %s: a task needs %s, more than any worker owned by this instance has (%s at most in each); it will wait", w.Kind, w.Name, w.Need, largest))
		}
	}
	return list
}
