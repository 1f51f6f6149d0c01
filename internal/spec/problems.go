package spec

import (
	"sort"
	"strings"
)

// Problems is every mistake of one text, as an error.
type Problems []Problem

// Error implements the error interface with one mistake a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

func (p Problems) sorted() Problems {
	sort.SliceStable(p, func(i, j int) bool {
		if p[i].Line != p[j].Line {
			return p[i].Line < p[j].Line
		}
		return p[i].Column < p[j].Column
	})
	return p
}
