package spec

import (
	"errors"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// FormatVersion is the only supported version of the text's format.
const FormatVersion = 1

// MaxTextBytes is the maximum size of a text.
const MaxTextBytes = 1 << 20

// document is a text together with the YAML nodes that later checks report as positions.
type document struct {
	text           Text
	nodes          map[string]*yaml.Node
	dependsOnNodes map[string][]*yaml.Node
}

// Parse parses a text. The error is of type Problems and contains every mistake found.
func Parse(source string) (*Text, error) {
	if len(source) > MaxTextBytes {
		return nil, Problems{{Line: 1, Column: 1, Message: fmt.Sprintf("the text has %d bytes; allowed: at most %d", len(source), MaxTextBytes)}}
	}
	root, err := decodeYAML(source)
	if err != nil {
		return nil, err
	}
	r := &reader{}
	doc := r.document(root)
	r.check(doc)
	if len(r.problems) > 0 {
		return nil, r.problems.sorted()
	}
	return &doc.text, nil
}

func decodeYAML(source string) (*yaml.Node, error) {
	dec := yaml.NewDecoder(strings.NewReader(source))
	var root yaml.Node
	if err := dec.Decode(&root); err != nil {
		return nil, Problems{yamlProblem(err)}
	}
	var second yaml.Node
	if err := dec.Decode(&second); !errors.Is(err, io.EOF) {
		return nil, Problems{{Line: max(second.Line, 1), Column: 1, Message: "a second document; allowed: exactly one"}}
	}
	return root.Content[0], nil
}

var yamlLine = regexp.MustCompile(`line (\d+): (.*)`)

func yamlProblem(err error) Problem {
	if errors.Is(err, io.EOF) {
		return Problem{Line: 1, Column: 1, Message: "the text is empty"}
	}
	if m := yamlLine.FindStringSubmatch(err.Error()); m != nil {
		line, _ := strconv.Atoi(m[1])
		return Problem{Line: line, Column: 1, Message: "not YAML: " + m[2]}
	}
	return Problem{Line: 1, Column: 1, Message: "not YAML: " + err.Error()}
}

func (r *reader) document(root *yaml.Node) *document {
	doc := &document{nodes: map[string]*yaml.Node{}, dependsOnNodes: map[string][]*yaml.Node{}}
	var version int64
	r.mapping(root, "the text", map[string]fieldReader{
		"version":  r.integer(&version, FormatVersion, FormatVersion),
		"teams":    func(n *yaml.Node) { r.list(n, "teams", func(i *yaml.Node) { r.team(doc, i) }) },
		"services": r.workloads(doc, Service),
		"batches":  r.workloads(doc, Batch),
		"jobs":     r.workloads(doc, Job),
	}, "version", "teams")
	return doc
}

func (r *reader) team(doc *document, n *yaml.Node) {
	team := Team{Weight: 1, Borrow: true}
	r.mapping(n, "a team", map[string]fieldReader{
		"name":      r.name(&team.Name),
		"quota":     r.amount(&team.Quota),
		"weight":    r.integer(&team.Weight, 1, 1000),
		"borrow":    r.boolean(&team.Borrow),
		"protected": r.boolean(&team.Protected),
	}, "name", "quota")
	if _, duplicate := doc.text.Team(team.Name); duplicate && team.Name != "" {
		r.fail(n, "team %q stands twice, with quotas that may contradict each other", team.Name)
		return
	}
	doc.text.Teams = append(doc.text.Teams, team)
}

func (r *reader) workloads(doc *document, kind Kind) fieldReader {
	return func(n *yaml.Node) {
		r.list(n, string(kind)+" list", func(item *yaml.Node) { r.workload(doc, kind, item) })
	}
}

func (r *reader) workload(doc *document, kind Kind, n *yaml.Node) {
	w := Workload{Kind: kind, Tasks: 1, Urgency: Normal, Spread: defaultSpread(kind), Start: StartOnApply, Idempotent: kind != Service}
	var dependsOnNodes []*yaml.Node
	fields := map[string]fieldReader{
		"name":       r.name(&w.Name),
		"team":       r.name(&w.Team),
		"resources":  r.amount(&w.Need),
		"urgency":    choice(r, &w.Urgency, Urgent, Normal, Low),
		"depends_on": r.nameList(&w.DependsOn, &dependsOnNodes),
		"command":    r.words(&w.Command),
		"idempotent": r.boolean(&w.Idempotent),
		"deadline":   r.duration(&w.Deadline),
		"spread":     choice(r, &w.Spread, SpreadZone, SpreadRack, SpreadWorker, SpreadNone),
	}
	if kind == Service {
		fields["replicas"] = r.count(&w.Tasks, 1, maxTasks)
	} else {
		fields["tasks"] = r.count(&w.Tasks, 1, maxTasks)
		fields["retries"] = r.count(&w.Retries, 0, maxRetries)
		fields["run_time"] = r.duration(&w.RunTime)
		fields["run_time_limit"] = r.duration(&w.RunTimeLimit)
		fields["start"] = choice(r, &w.Start, StartOnApply, StartOnSubmit)
	}
	r.mapping(n, "a "+string(kind), fields, "name", "team", "resources")
	if _, duplicate := doc.nodes[w.Name]; duplicate {
		r.fail(n, "the name %q stands twice; services, batches and jobs share their names", w.Name)
		return
	}
	doc.nodes[w.Name] = n
	doc.dependsOnNodes[w.Name] = dependsOnNodes
	doc.text.Workloads = append(doc.text.Workloads, w)
}

func defaultSpread(kind Kind) Spread {
	if kind == Service {
		return SpreadRack
	}
	return SpreadNone
}
