package spec

import "fmt"

// Problem is one mistake in a text, or one warning about it.
type Problem struct {
	// Line and Column start at 1.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Message describes the mistake and what is allowed instead.
	Message string `json:"message"`
}

// String returns the problem in the form "line:column: message".
func (p Problem) String() string {
	return fmt.Sprintf("%d:%d: %s", p.Line, p.Column, p.Message)
}
