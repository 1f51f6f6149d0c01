package entry

// CancelResult is the response to a cancellation, with the number of cancelled runs.
type CancelResult struct {
	Cancelled int `json:"cancelled"`
}
