package entry

// CancelResult answers an accepted cancellation.
type CancelResult struct {
	Cancelled int `json:"cancelled"`
}
