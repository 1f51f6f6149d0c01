package peer

import (
	"errors"
	"time"

	"github.com/twitchtv/twirp"

	"gentianstand/internal/fault"
)

// The keys under which a fault travels in the metadata of a twirp error.
const (
	metaKind       = "kind"
	metaOutcome    = "outcome"
	metaRetryAfter = "retry_after"
)

// toTwirp makes a fault travel: kind, outcome and when to come back.
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
// itself, after which the callee may have done what was asked.
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
