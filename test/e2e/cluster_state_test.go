package e2e

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"

	"gentianstand/internal/entry"
	"gentianstand/internal/planner"
	standworker "gentianstand/internal/standin/worker"
)

// metric returns the value of one of an instance's metrics, 0 if it has none.
func (s *cluster) metric(inst *node, name string) int {
	resp, err := http.Get("http://" + inst.address + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	for line := range strings.Lines(string(data)) {
		var value int
		if n, _ := fmt.Sscanf(line, name+" %d", &value); n == 1 {
			return value
		}
	}
	return 0
}

// runs returns the latest run of each workload.
func (s *cluster) runs(on *node) (map[string]planner.Summary, error) {
	var list []planner.Summary
	if err := s.getJSON(on.address, "/v1/runs", &list); err != nil {
		return nil, err
	}
	byWorkload := map[string]planner.Summary{}
	for _, r := range list {
		if r.SubmittedAt.After(byWorkload[r.Workload].SubmittedAt) {
			byWorkload[r.Workload] = r
		}
	}
	return byWorkload, nil
}

func (s *cluster) awaitState(on *node, workload, state string) {
	s.t.Helper()
	s.await(workload+" "+state, func() error {
		runs, err := s.runs(on)
		if err != nil {
			return err
		}
		if r := runs[workload]; string(r.State) != state {
			return fmt.Errorf("%+v", r)
		}
		return nil
	})
}

func (s *cluster) awaitRunning(on *node, workload string, tasks int) {
	s.t.Helper()
	s.await(workload+" running", func() error {
		runs, err := s.runs(on)
		if err != nil {
			return err
		}
		if r := runs[workload]; r.Running != tasks {
			return fmt.Errorf("%+v", r)
		}
		return nil
	})
}

func (s *cluster) status(on *node) (entry.Status, error) {
	var st entry.Status
	err := s.getJSON(on.address, "/v1/status", &st)
	return st, err
}

// planner returns the instance that plans.
func (s *cluster) planner(from *node) *node {
	s.t.Helper()
	var found *node
	s.await("planner known", func() error {
		st, err := s.status(from)
		if err != nil {
			return err
		}
		for _, inst := range s.instances {
			if inst.id == st.Planner {
				found = inst
				return nil
			}
		}
		return fmt.Errorf("planner %q", st.Planner)
	})
	return found
}

// others returns the instances but one.
func (s *cluster) others(not *node) []*node {
	var list []*node
	for _, inst := range s.instances {
		if inst != not {
			list = append(list, inst)
		}
	}
	return list
}

// events returns the record of all workers in the order of time.
func (s *cluster) events() []standworker.Event {
	s.t.Helper()
	var all []standworker.Event
	for _, w := range s.workers {
		var events []standworker.Event
		s.await("record of "+w.id, func() error { return s.getJSON(w.address, standworker.PathRecord, &events) })
		all = append(all, events...)
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	return all
}

// checkRecord fails the test if the workers' record shows a broken promise.
func (s *cluster) checkRecord() []standworker.Event {
	s.t.Helper()
	events := s.events()
	if broken := standworker.Violations(events); len(broken) > 0 {
		s.t.Fatalf("broken promises:\n%s", strings.Join(broken, "\n"))
	}
	return events
}
