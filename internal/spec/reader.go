package spec

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"go.yaml.in/yaml/v3"
)

// reader decodes a YAML tree and collects problems instead of stopping at the first one.
type reader struct {
	problems Problems
}

func (r *reader) fail(n *yaml.Node, format string, args ...any) {
	r.problems = append(r.problems, Problem{Line: n.Line, Column: n.Column, Message: fmt.Sprintf(format, args...)})
}

// fieldReader reads the value of one field.
type fieldReader func(value *yaml.Node)

// mapping reads a mapping. Unknown, duplicate and missing required fields are problems.
func (r *reader) mapping(n *yaml.Node, what string, fields map[string]fieldReader, required ...string) {
	n = resolveAlias(n)
	if n.Kind != yaml.MappingNode {
		r.fail(n, "%s must be a mapping with the fields %s", what, fieldNames(fields))
		return
	}
	seen := map[string]bool{}
	for i := 0; i+1 < len(n.Content); i += 2 {
		key, value := n.Content[i], n.Content[i+1]
		read, known := fields[key.Value]
		switch {
		case !known:
			r.fail(key, "unknown field %q in %s; allowed: %s", key.Value, what, fieldNames(fields))
		case seen[key.Value]:
			r.fail(key, "field %q stands twice in %s", key.Value, what)
		default:
			read(resolveAlias(value))
		}
		seen[key.Value] = true
	}
	for _, name := range required {
		if !seen[name] {
			r.fail(n, "%s lacks the field %q", what, name)
		}
	}
}

func (r *reader) list(n *yaml.Node, what string, each fieldReader) {
	if n.Kind != yaml.SequenceNode {
		r.fail(n, "%s must be a list", what)
		return
	}
	for _, item := range n.Content {
		each(resolveAlias(item))
	}
}

func (r *reader) scalar(n *yaml.Node, what string) (string, bool) {
	if n.Kind != yaml.ScalarNode {
		r.fail(n, "%s must be a single value", what)
		return "", false
	}
	return n.Value, true
}

func resolveAlias(n *yaml.Node) *yaml.Node {
	for n.Kind == yaml.AliasNode {
		n = n.Alias
	}
	return n
}

func fieldNames(fields map[string]fieldReader) string {
	list := make([]string, 0, len(fields))
	for name := range fields {
		list = append(list, name)
	}
	sort.Strings(list)
	return strings.Join(list, ", ")
}

// choice reads a value that must be one of the allowed words.
func choice[T ~string](r *reader, into *T, allowed ...T) fieldReader {
	return func(n *yaml.Node) {
		s, ok := r.scalar(n, "this field")
		if !ok {
			return
		}
		if !slices.Contains(allowed, T(s)) {
			r.fail(n, "%q is not allowed here; allowed: %v", s, allowed)
			return
		}
		*into = T(s)
	}
}
