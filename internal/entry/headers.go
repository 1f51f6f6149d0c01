package entry

// The headers of the HTTP API.
const (
	// HeaderRequestID is the request's ID. It is generated if the caller sends none, and
	// every response contains it.
	HeaderRequestID = "X-Request-Id"
	// HeaderTimeout is how long the caller waits, in seconds as a decimal number.
	HeaderTimeout = "X-Request-Timeout"
	// HeaderIdempotencyKey marks a request that must run at most once, however often it
	// is sent (draft-ietf-httpapi-idempotency-key-header).
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed marks a stored response to an earlier request with the same key.
	HeaderReplayed = "Idempotency-Replayed"
	// HeaderOutcome and HeaderErrorKind repeat the outcome and the error kind of an
	// error response that does not come from an upstream.
	HeaderOutcome   = "X-Gentianstand-Outcome"
	HeaderErrorKind = "X-Gentianstand-Error"
	// headerForwarded marks a request that another instance has forwarded. Its value
	// states how to handle the request.
	headerForwarded = "X-Gentianstand-Forwarded"
)

// The values of headerForwarded.
const (
	// forwardTry requests a slot that is free now; the request is not queued.
	forwardTry = "try"
	// forwardWait requests a slot and permits queueing.
	forwardWait = "wait"
	// forwardKey requests handling by the owner of the idempotency key's shard.
	forwardKey = "key"
)
