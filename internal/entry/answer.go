package entry

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"

	"gentianstand/internal/fault"
)

// errorBody is the JSON body of every error response that does not come from an upstream.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Kind             fault.Kind    `json:"kind"`
	Message          string        `json:"message"`
	Outcome          fault.Outcome `json:"outcome"`
	RetryAfterMillis int64         `json:"retry_after_ms,omitempty"`
	RequestID        string        `json:"request_id"`
}

// writeError sends err as a response, with the status that package fault assigns to its kind.
func writeError(w http.ResponseWriter, requestID string, err error) {
	f := fault.From(err)
	a := f.Answer()
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(a.Outcome))
	h.Set(HeaderErrorKind, string(f.Kind))
	if a.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(a.RetryAfter.Seconds()))))
	}
	w.WriteHeader(a.Status)
	_ = json.NewEncoder(w).Encode(errorBody{errorDetail{
		Kind: f.Kind, Message: f.Message, Outcome: a.Outcome,
		RetryAfterMillis: a.RetryAfter.Milliseconds(), RequestID: requestID,
	}})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
