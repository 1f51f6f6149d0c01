package e2e

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// runJSON runs an operator's command with -json and decodes its output.
func (s *cluster) runJSON(on *node, into any, args ...string) {
	s.t.Helper()
	out, err := s.run(on, "", append(args, "-json")...)
	if err != nil {
		s.t.Fatalf("%v: %v\n%s", args, err, out)
	}
	if err := json.Unmarshal([]byte(out), into); err != nil {
		s.t.Fatalf("%v: output is not JSON: %v\n%s", args, err, out)
	}
}

// TestCommands checks each of the operator's commands against separate processes.
func TestCommands(t *testing.T) {
	s := newLoadedCluster(t)
	on := s.instances[2]
	changed := strings.Replace(serviceText, "replicas: 6", "replicas: 4", 1)
	out, err := s.run(on, changed, "plan")
	if err != nil || !strings.Contains(out, "service casedesk: from 6 to 4 replicas") || !strings.Contains(out, "+    replicas: 4") {
		t.Errorf("plan: %v\n%s", err, out)
	}
	if st, err := s.status(on); err != nil || st.Config != 1 {
		t.Errorf("plan changed the configuration: %d %v", st.Config, err)
	}
	var submitted, again struct{ Run string }
	s.runJSON(on, &submitted, "submit", "-workload", "extra", "-key", "k")
	s.runJSON(s.instances[0], &again, "submit", "-workload", "extra", "-key", "k")
	if submitted.Run == "" || submitted != again {
		t.Errorf("the same key gave %q and %q", submitted.Run, again.Run)
	}
	s.awaitState(on, "extra", "succeeded")
	out, err = s.run(on, "", "run", "-id", submitted.Run)
	if err != nil || strings.Count(out, "succeeded") < 3 {
		t.Errorf("run: %v\n%s", err, out)
	}
	var cancelled struct{ Cancelled int }
	s.runJSON(on, &cancelled, "cancel", "-workload", "watch")
	if cancelled.Cancelled != 1 {
		t.Errorf("cancelled %d", cancelled.Cancelled)
	}
	s.awaitState(on, "watch", "cancelled")
	var entries []struct{ Action, By, Outcome string }
	s.runJSON(on, &entries, "audit")
	if len(entries) < 4 {
		t.Errorf("audit has %d entries: %+v", len(entries), entries)
	}
	load := exec.Command(filepath.Join(binaries, "gentianstand"), "load", "-servers", s.instances[0].address+","+on.address, "-service", "casedesk", "-rate", "100", "-duration", "1s", "-json")
	data, err := load.Output()
	var report struct {
		Sent    int
		Answers map[string]int
	}
	if err != nil || json.Unmarshal(data, &report) != nil || report.Sent == 0 || report.Answers["status_200"] != report.Sent {
		t.Errorf("load: %v %s", err, data)
	}
	s.checkRecord()
}

// TestHelpAndUsage checks that every command prints its usage with -h, and that invalid
// arguments lead to exit code 2.
func TestHelpAndUsage(t *testing.T) {
	program := filepath.Join(binaries, "gentianstand")
	names := []string{"serve", "dev", "apply", "plan", "status", "submit", "run", "cancel", "drain", "audit", "load", "version"}
	for _, name := range names {
		out, err := exec.Command(program, name, "-h").CombinedOutput()
		if err != nil || !strings.Contains(string(out), "Usage: gentianstand "+name) {
			t.Errorf("%s -h: %v\n%s", name, err, out)
		}
	}
	for _, args := range [][]string{{"nonsense"}, {"serve"}, {"cancel"}, {"load", "-rate", "x"}, {"drain", "-unknown"}} {
		err := exec.Command(program, args...).Run()
		exit, ok := err.(*exec.ExitError)
		if !ok || exit.ExitCode() != 2 {
			t.Errorf("%v: %v, want exit code 2", args, err)
		}
	}
}

// TestExamplesApply checks that the example configurations of both users are accepted. Tasks too
// large for any worker of this small cluster lead to warnings only.
func TestExamplesApply(t *testing.T) {
	t.Parallel()
	s := newCluster(t, 2, 2, 1)
	s.awaitOwned()
	for _, name := range []string{"lankadesa", "jaatelolinkki", "dev"} {
		text, err := os.ReadFile("../../examples/" + name + ".yaml")
		if err != nil {
			t.Fatal(err)
		}
		if out, err := s.run(s.instances[0], string(text), "apply"); err != nil {
			t.Errorf("%s: %v\n%s", name, err, out)
		}
	}
	s.awaitState(s.instances[0], "routes", "succeeded")
}
