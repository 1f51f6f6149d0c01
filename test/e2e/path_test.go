package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

const text = `version: 1
teams:
  - name: wards
    quota: {cpu: 48, memory: 96GiB}
services:
  - name: casedesk
    team: wards
    replicas: 3
    resources: {cpu: 1, memory: 512MiB}
batches:
  - name: letters
    team: wards
    tasks: 12
    resources: {cpu: 1, memory: 256MiB}
    command: [sleep, 50ms]
jobs:
  - name: routes
    team: wards
    tasks: 4
    resources: {cpu: 2, memory: 1GiB}
    command: [sleep, 50ms]
`

// TestWholePath starts a platform, 3 instances and 3 workers as processes, applies a
// configuration with one workload of each kind, and waits for their results.
func TestWholePath(t *testing.T) {
	s := newCluster(t, 3, 3, 1)
	first := s.instances[0]
	s.apply(first, text)
	s.await("configuration on all instances", func() error {
		for _, inst := range s.instances {
			st, err := s.status(inst)
			if err != nil {
				return err
			}
			if st.Config != 1 {
				return fmt.Errorf("%s has configuration %d", inst.id, st.Config)
			}
		}
		return nil
	})
	s.awaitRunning(first, "casedesk", 3)
	for i, inst := range s.instances {
		path := fmt.Sprintf("casedesk/cases/%d?full=1", i)
		s.awaitAnswered(inst, path)
		a, err := s.request(inst, http.MethodGet, path, "")
		if err != nil || !strings.HasPrefix(a.body, fmt.Sprintf("GET cases/%d from worker-", i)) {
			t.Fatalf("answer %+v, error %v", a, err)
		}
	}
	s.awaitState(first, "letters", "succeeded")
	s.awaitState(first, "routes", "succeeded")
	out, err := s.run(s.instances[1], "", "status")
	if err != nil || !strings.Contains(out, "routes") || !strings.Contains(out, "entry-2") {
		t.Fatalf("status: %v\n%s", err, out)
	}
	s.checkRecord()
}
