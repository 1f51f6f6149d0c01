package fault

import (
	"fmt"
	"os"
	"strings"
	"testing"
)

// TestErrorsArePublished: docs/CALLERS.md has exactly the rows of the table.
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
			t.Errorf("docs/CALLERS.md lacks: %s", row)
		}
		delete(published, row)
	}
	for row := range published {
		t.Errorf("docs/CALLERS.md has a row that the table has not: %s", row)
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

// TestUnknownKindClaimsNothing: a kind outside the list is answered as one
// after which the work may have run.
func TestUnknownKindClaimsNothing(t *testing.T) {
	if a := AnswerFor("nonsense"); a.Outcome != MayHaveRun {
		t.Errorf("got %+v", a)
	}
}
