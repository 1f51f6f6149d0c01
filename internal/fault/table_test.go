package fault

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestErrorsArePublished checks that docs/CALLERS.md has exactly the rows of the table.
func TestErrorsArePublished(t *testing.T) {
	page, err := os.ReadFile("../../docs/CALLERS.md")
	if err != nil {
		t.Fatal(err)
	}
	published := map[string]bool{}
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| `") && strings.Count(line, "|") == 6 {
			published[strings.TrimSpace(line)] = true
		}
	}
	for _, k := range Kinds() {
		row := publishedRow(k)
		if !published[row] {
			t.Errorf("docs/CALLERS.md is missing this row: %s", row)
		}
		delete(published, row)
	}
	for row := range published {
		t.Errorf("docs/CALLERS.md has a row that is not in the table: %s", row)
	}
}

func publishedRow(k Kind) string {
	a := AnswerFor(k)
	after := ""
	if a.RetryAfter > 0 {
		after = a.RetryAfter.String()
	}
	return fmt.Sprintf("| `%s` | %d | `%s` | %s | %s |", k, a.Status, a.Outcome, after, a.Meaning)
}

// TestUnknownKindClaimsNothing checks that an undefined kind is answered with an outcome of
// MayHaveRun.
func TestUnknownKindClaimsNothing(t *testing.T) {
	if a := AnswerFor("nonsense"); a.Outcome != MayHaveRun {
		t.Errorf("got %+v", a)
	}
}
