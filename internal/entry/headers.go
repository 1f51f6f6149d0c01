package entry

// The headers of the callers' interface.
const (
	// HeaderRequestID is the request's id; it is made up if the caller sends
	// none, and always comes back.
	HeaderRequestID = "X-Request-Id"
	// HeaderTimeout is how long the caller waits, in seconds as a decimal.
	HeaderTimeout = "X-Request-Timeout"
	// HeaderIdempotencyKey marks a request that must run at most once however often it
	// is sent (draft-ietf-httpapi-idempotency-key-header).
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks the answer of an earlier request with the key.
	HeaderReplayed = "Idempotency-Replayed"
	// HeaderOutcome and HeaderKind repeat the outcome and the error kind of
	// an answer that is not the upstream's own.
	HeaderOutcome   = "X-Gentianstand-Outcome"
	HeaderErrorKind = "X-Gentianstand-Error"
	// headerForwarded marks a request that another instance passed on, and
	// says how it should be handled.
	headerForwarded = "X-Gentianstand-Forwarded"
)

// The values of headerForwarded.
const (
	// forwardTry asks for a slot that is free now.
	forwardTry = "try"
	// forwardWait asks to queue if need be.
	forwardWait = "wait"
	// forwardKey asks the home of an idempotency key to handle the request.
	forwardKey = "key"
)
