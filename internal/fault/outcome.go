package fault

// Outcome tells a caller whether its work was executed. It is never a guess:
// DidNotRun and Ran are said only where they are known.
type Outcome string

// The outcomes an answer can state.
const (
	DidNotRun  Outcome = "did_not_run"
	Ran        Outcome = "ran"
	MayHaveRun Outcome = "may_have_run"
)
