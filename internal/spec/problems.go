package spec

import (
	"sort"
	"strings"
)

// Problems is an error that contains every mistake of one text.
type Problems []Problem

// Error implements the error interface. It returns one mistake per line.
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
