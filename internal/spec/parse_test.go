package spec

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

const head = "version: 1\nteams:\n  - name: a\n    quota: {cpu: 4, memory: 8GiB}\n"

// TestBadTexts checks that each mistake is reported with its line, its column and what is
// allowed.
func TestBadTexts(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"empty", "", "1:1: the text is empty"},
		{"not YAML", "version: [1", "not YAML"},
		{"two documents", head + "---\nversion: 1\n", "a second document"},
		{"no version", "teams: []\n", `1:1: the text lacks the field "version"`},
		{"wrong version", "version: 2\nteams: []\n", "1:10: \"2\" is not allowed; allowed: a whole number from 1 to 1"},
		{"unknown field", head + "servces: []\n", `5:1: unknown field "servces" in the text; allowed: batches, jobs, services, teams, version`},
		{"field twice", head + "jobs: []\njobs: []\n", `6:1: field "jobs" stands twice`},
		{"wrong unit", head + "batches:\n  - name: b\n    team: a\n    resources: {cpu: 1, memory: 5GB}\n", `8:33: memory "5GB" is not allowed; allowed: a whole number with the unit MiB, GiB or TiB`},
		{"wrong cpu", head + "batches:\n  - name: b\n    team: a\n    resources: {cpu: 0.0001, memory: 1GiB}\n", `8:22: cpu "0.0001" is not allowed`},
		{"wrong duration", head + "batches:\n  - name: b\n    team: a\n    resources: {cpu: 1, memory: 1GiB}\n    run_time: 90\n", `9:15: "90" is not allowed; allowed: a duration`},
		{"wrong choice", head + "services:\n  - name: s\n    team: a\n    resources: {cpu: 1, memory: 1GiB}\n    spread: region\n", `9:13: "region" is not allowed here; allowed: [zone rack worker none]`},
		{"wrong count", head + "services:\n  - name: s\n    team: a\n    resources: {cpu: 1, memory: 1GiB}\n    replicas: 0\n", `9:15: "0" is not allowed; allowed: a whole number from 1 to 10000`},
		{"bad name", head + "services:\n  - name: Case Desk\n    team: a\n    resources: {cpu: 1, memory: 1GiB}\n", `6:11: name "Case Desk" is not allowed`},
		{"name twice", head + "services:\n  - name: s\n    team: a\n    resources: {cpu: 1, memory: 1GiB}\njobs:\n  - name: s\n    team: a\n    resources: {cpu: 1, memory: 1GiB}\n", `10:5: the name "s" stands twice`},
		{"unknown team", head + "jobs:\n  - name: j\n    team: b\n    resources: {cpu: 1, memory: 1GiB}\n", `6:5: job "j" names the unknown team "b"`},
		{"unknown dependency", head + "jobs:\n  - name: j\n    team: a\n    resources: {cpu: 1, memory: 1GiB}\n    depends_on: [x]\n", `9:18: "j" depends on the unknown "x"`},
		{"cycle", head + "jobs:\n  - name: j\n    team: a\n    resources: {cpu: 1, memory: 1GiB}\n    depends_on: [k]\n  - name: k\n    team: a\n    resources: {cpu: 1, memory: 1GiB}\n    depends_on: [j]\n", "dependency cycle: j -> k -> j"},
		{"quota contradiction", head + "  - name: a\n    quota: {cpu: 5, memory: 8GiB}\n", `5:5: team "a" stands twice, with quotas that may contradict each other`},
		{"above quota", "version: 1\nteams:\n  - name: a\n    quota: {cpu: 4, memory: 8GiB}\n    borrow: false\njobs:\n  - name: j\n    team: a\n    tasks: 5\n    resources: {cpu: 1, memory: 1GiB}\n", `7:5: job "j" needs at least`},
		{"run time above its limit", head + "jobs:\n  - name: j\n    team: a\n    resources: {cpu: 1, memory: 1GiB}\n    run_time: 2h\n    run_time_limit: 1h\n", "declares run_time 2h0m0s above its run_time_limit 1h0m0s"},
		{"needs nothing", head + "jobs:\n  - name: j\n    team: a\n    resources: {cpu: 0, memory: 0MiB}\n", `job "j" needs nothing`},
		{"list expected", "version: 1\nteams: 5\n", "2:8: teams must be a list"},
		{"mapping expected", "version: 1\nteams: [5]\n", "2:9: a team must be a mapping"},
		{"too long", strings.Repeat("#", MaxTextBytes+1), "allowed: at most 1048576"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse(c.text)
			if err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got %v, want %q", err, c.want)
			}
		})
	}
}

// TestAllMistakesAtOnce checks that one error contains every mistake, sorted by line.
func TestAllMistakesAtOnce(t *testing.T) {
	_, err := Parse("version: 1\nteams:\n  - name: A\n    quota: {cpu: x, memory: 1}\nfoo: 1\n")
	problems, ok := err.(Problems)
	if !ok || len(problems) != 4 {
		t.Fatalf("got %v", err)
	}
	for i := 1; i < len(problems); i++ {
		if problems[i].Line < problems[i-1].Line {
			t.Errorf("problems are not sorted by line: %v", problems)
		}
	}
}

func TestExamples(t *testing.T) {
	files, err := filepath.Glob("../../examples/*.yaml")
	if err != nil || len(files) < 3 {
		t.Fatalf("examples: %v %v", files, err)
	}
	for _, file := range files {
		source, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(string(source)); err != nil {
			t.Errorf("%s: %v", file, err)
		}
	}
}

// TestParseNeverPanics checks that every input yields either a text or a list of mistakes with
// their positions.
func TestParseNeverPanics(t *testing.T) {
	pieces := []string{"version: 1\n", "teams:\n", "  - name: a\n", "    quota: {cpu: 1, memory: 1GiB}\n", "jobs:\n", "  - ", "&x ", "*x", "[", "{", ": ", "\t", "depends_on: [a]\n", "null\n", "- - -\n", "\x00"}
	rapid.Check(t, func(rt *rapid.T) {
		parts := rapid.SliceOfN(rapid.SampledFrom(pieces), 0, 20).Draw(rt, "parts")
		_, err := Parse(strings.Join(parts, ""))
		if err == nil {
			return
		}
		problems, ok := err.(Problems)
		if !ok || len(problems) == 0 || problems[0].Line < 1 || problems[0].Column < 1 {
			rt.Fatalf("mistakes without positions: %#v", err)
		}
	})
}
