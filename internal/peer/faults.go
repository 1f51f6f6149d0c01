package peer

import (
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"gentianstand/internal/fault"
)

// Metadata keys of a fault in a Twirp error.
const (
	metaKind       = "kind"
	metaOutcome    = "outcome"
	metaRetryAfter = "retry_after"
)

// toTwirp converts a fault, with its kind, outcome and retry delay, to a Twirp
// error.
func toTwirp(err error) error {
	if err == nil {
		return nil
	}
	f := fault.From(err)
	a := f.Answer()
	return twirp.NewError(twirp.FailedPrecondition, f.Message).
		WithMeta(metaKind, string(f.Kind)).
		WithMeta(metaOutcome, string(a.Outcome)).
		WithMeta(metaRetryAfter, a.RetryAfter.String())
}

// fromTwirp restores a fault. An error without one is a failure of the call
// itself, after which the callee may have executed the request.
func fromTwirp(err error) error {
	if err == nil {
		return nil
	}
	var te twirp.Error
	if !errors.As(err, &te) || te.Meta(metaKind) == "" {
		return fault.New(fault.UpstreamFailed, "call to another instance: %w", err)
	}
	f := fault.New(fault.Kind(te.Meta(metaKind)), "%s", te.Msg()).WithOutcome(fault.Outcome(te.Meta(metaOutcome)))
	if d, parseErr := time.ParseDuration(te.Meta(metaRetryAfter)); parseErr == nil {
		f = f.WithRetryAfter(d)
	}
	return f
}
