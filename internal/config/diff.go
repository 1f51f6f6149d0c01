package config

import "github.com/pmezard/go-difflib/difflib"

// diffContext is the number of unchanged lines around each difference.
const diffContext = 2

// Diff returns the difference between two texts in the unified diff format.
func Diff(from, to string) string {
	diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A: difflib.SplitLines(from), B: difflib.SplitLines(to), Context: diffContext,
	})
	if err != nil {
		return err.Error()
	}
	return diff
}
