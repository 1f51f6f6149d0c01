package entry

// SubmitResult answers an accepted submission.
type SubmitResult struct {
	Run string `json:"run"`
}
