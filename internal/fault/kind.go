package fault

// Kind is one of the defined error kinds. The answer of each kind is in table.go.
type Kind string

// The error kinds. Each kind needs a row in the table of answers.
const (
	BadRequest          Kind = "bad_request"
	Unauthorized        Kind = "unauthorized"
	UnknownKey          Kind = "unknown_key"
	TooLarge            Kind = "too_large"
	RequestTimeout      Kind = "request_timeout"
	UnknownService      Kind = "unknown_service"
	UnknownRun          Kind = "unknown_run"
	UnknownPath         Kind = "unknown_path"
	Conflict            Kind = "conflict"
	KeyInProgress       Kind = "key_in_progress"
	AlreadyRan          Kind = "already_ran"
	OutcomeUnknown      Kind = "outcome_unknown"
	QuotaExceeded       Kind = "quota_exceeded"
	Overloaded          Kind = "overloaded"
	DeadlineExceeded    Kind = "deadline_exceeded"
	UpstreamFailed      Kind = "upstream_failed"
	UpstreamUnreachable Kind = "upstream_unreachable"
	PlatformUnavailable Kind = "platform_unavailable"
	NotOwner            Kind = "not_owner"
	Stopping            Kind = "stopping"
	Internal            Kind = "internal"
)
