package planner

import (
	"cmp"
	"maps"
	"slices"

	"gentianstand/internal/placement/cluster"
)

func sortNodes(nodes []cluster.Node) {
	slices.SortFunc(nodes, func(a, b cluster.Node) int { return cmp.Compare(a.ID, b.ID) })
}

// sortedKeys returns the keys of m in a deterministic order.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
