package httpwire

// ScanRequest is the body of a scan call.
type ScanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}
