package entry

// SubmitResult is the response to an accepted submission, with the ID of the run.
type SubmitResult struct {
	Run string `json:"run"`
}
