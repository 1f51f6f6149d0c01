package fault

import (
	"net/http"
	"slices"
	"time"
)

// answers maps each kind to its answer. A test checks docs/CALLERS.md against it.
var answers = map[Kind]Answer{
	BadRequest:          {http.StatusBadRequest, DidNotRun, 0, "The request is malformed; the message names the place."},
	Unauthorized:        {http.StatusUnauthorized, DidNotRun, 0, "The operator token is missing or wrong."},
	UnknownKey:          {http.StatusUnauthorized, DidNotRun, 0, "The API key is missing, or no workspace has it."},
	TooLarge:            {http.StatusRequestEntityTooLarge, DidNotRun, 0, "The body or a header exceeds its limit."},
	RequestTimeout:      {http.StatusServiceUnavailable, DidNotRun, time.Second, "The body did not arrive in time."},
	UnknownService:      {http.StatusNotFound, DidNotRun, 0, "No service of this name is in the configuration in force."},
	UnknownRun:          {http.StatusNotFound, DidNotRun, 0, "No run of this id is known."},
	UnknownPath:         {http.StatusNotFound, DidNotRun, 0, "The path belongs to no part of the interface."},
	Conflict:            {http.StatusConflict, DidNotRun, 0, "Another change was accepted first; the message names it."},
	KeyInProgress:       {http.StatusConflict, MayHaveRun, time.Second, "A request with this idempotency key is being executed now."},
	AlreadyRan:          {http.StatusConflict, Ran, 0, "A request with this idempotency key was executed; it is not executed again."},
	OutcomeUnknown:      {http.StatusConflict, MayHaveRun, 0, "A request with this idempotency key was forwarded and its end is not known; it is not executed again."},
	QuotaExceeded:       {http.StatusTooManyRequests, DidNotRun, 5 * time.Second, "The quota of the team can never hold this work."},
	Overloaded:          {http.StatusServiceUnavailable, DidNotRun, time.Second, "No slot becomes free in time."},
	DeadlineExceeded:    {http.StatusGatewayTimeout, DidNotRun, time.Second, "The deadline passed before the work could start."},
	UpstreamFailed:      {http.StatusBadGateway, MayHaveRun, time.Second, "The upstream failed after the request was sent."},
	UpstreamUnreachable: {http.StatusServiceUnavailable, DidNotRun, time.Second, "No upstream could be reached; nothing was sent."},
	PlatformUnavailable: {http.StatusServiceUnavailable, DidNotRun, 5 * time.Second, "The table service does not answer, so the change could not be kept."},
	NotOwner:            {http.StatusMisdirectedRequest, DidNotRun, time.Second, "This instance does not own what the request is about."},
	Stopping:            {http.StatusServiceUnavailable, DidNotRun, time.Second, "This instance is stopping."},
	Internal:            {http.StatusInternalServerError, MayHaveRun, time.Second, "An unexpected error; the log line of the request id tells more."},
}

// AnswerFor returns the answer of a kind. An unknown kind gets the answer of Internal, which
// makes no claim about the work.
func AnswerFor(k Kind) Answer {
	a, ok := answers[k]
	if !ok {
		return answers[Internal]
	}
	return a
}

// Kinds returns all kinds in alphabetical order.
func Kinds() []Kind {
	kinds := make([]Kind, 0, len(answers))
	for k := range answers {
		kinds = append(kinds, k)
	}
	slices.Sort(kinds)
	return kinds
}
