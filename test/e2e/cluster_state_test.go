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

// metric returns the value of an instance's metric, or 0 if the metric does not exist.
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

// runs returns the latest run of each workload, as reported by an instance.
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

// awaitState waits until the latest run of a workload is in a state.
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

// awaitRunning waits until the latest run of a workload has exactly the given number of running
// tasks.
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

// planner returns the instance that is the planner according to from.
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
		return fmt.Errorf("planner is %q", st.Planner)
	})
	return found
}

// others returns all instances except not.
func (s *cluster) others(not *node) []*node {
	var list []*node
	for _, inst := range s.instances {
		if inst != not {
			list = append(list, inst)
		}
	}
	return list
}

// events returns the events of all workers, ordered by time.
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

// checkRecord fails the test if the workers' events violate the scheduler's guarantees. It
// returns the events.
func (s *cluster) checkRecord() []standworker.Event {
	s.t.Helper()
	events := s.events()
	if broken := standworker.Violations(events); len(broken) > 0 {
		s.t.Fatalf("violations:\n%s", strings.Join(broken, "\n"))
	}
	return events
}
