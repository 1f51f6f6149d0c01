package fault

// Outcome informs a caller whether its work was executed. DidNotRun and Ran are used only if
// that is known for certain.
type Outcome string

// The outcomes of an answer.
const (
	DidNotRun  Outcome = "did_not_run"
	Ran        Outcome = "ran"
	MayHaveRun Outcome = "may_have_run"
)
