package instance_test

import (
	"flag"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gentianstand/internal/instance"
	"gentianstand/internal/run"
	"gentianstand/internal/settings"
)

var (
	metricPattern = regexp.MustCompile("gentianstand_[a-z_]+[a-z]")
	logPattern    = regexp.MustCompile(`\.(?:Info|Warn|Error)\("([a-z]+_[a-z_]+|listening|stopping|stopped)"\)`)
	eventPattern  = regexp.MustCompile(`c\.event\("([a-z_]+[a-z])"`)
)

func operating(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	return string(page)
}

// sources returns the product's code, without tests.
func sources(t *testing.T) string {
	t.Helper()
	var all strings.Builder
	err := filepath.WalkDir("..", func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		all.Write(data)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all.String()
}

// TestFlagsArePublished checks that docs/OPERATIONS.md names each flag of serve.
func TestFlagsArePublished(t *testing.T) {
	var c instance.Settings
	s := settings.New("serve", "", io.Discard)
	c.Register(s)
	page := operating(t)
	s.VisitAll(func(f *flag.Flag) {
		if !strings.Contains(page, "`-"+f.Name+"`") {
			t.Errorf("docs/OPERATIONS.md lacks -%s", f.Name)
		}
	})
}

// TestMetricsArePublished checks that docs/OPERATIONS.md names exactly the metrics of the code.
func TestMetricsArePublished(t *testing.T) {
	compare(t, "metric", words(metricPattern, sources(t), 0), words(metricPattern, operating(t), 0))
}

// TestLogEventsArePublished checks that docs/OPERATIONS.md names each event that the code logs.
func TestLogEventsArePublished(t *testing.T) {
	code := sources(t)
	page := operating(t)
	events := words(logPattern, code, 1)
	for event := range words(eventPattern, code, 1) {
		events[event] = true
	}
	for _, state := range []run.State{run.Succeeded, run.Failed, run.Cancelled} {
		events["run_"+string(state)] = true
	}
	for _, state := range []run.TaskState{run.TaskSucceeded, run.TaskFailed, run.TaskCancelled, run.TaskUnknown} {
		events["task_"+string(state)] = true
	}
	for event := range events {
		if !strings.Contains(page, "`"+event+"`") {
			t.Errorf("docs/OPERATIONS.md lacks the event %s", event)
		}
	}
}

func words(pattern *regexp.Regexp, text string, group int) map[string]bool {
	found := map[string]bool{}
	for _, m := range pattern.FindAllStringSubmatch(text, -1) {
		found[m[group]] = true
	}
	return found
}

func compare(t *testing.T, what string, code, page map[string]bool) {
	t.Helper()
	for name := range code {
		if !page[name] {
			t.Errorf("docs/OPERATIONS.md lacks the %s %s", what, name)
		}
	}
	for name := range page {
		if !code[name] {
			t.Errorf("docs/OPERATIONS.md has a %s that the code lacks: %s", what, name)
		}
	}
}
