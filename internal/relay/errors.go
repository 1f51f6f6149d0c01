package relay

import (
	"errors"
	"fmt"

	"gentianstand/internal/runner"
)

var (
	// errNotSent says that nothing was sent: the call may be made another way.
	errNotSent = errors.New("the request was not sent to the relay")
	// errLinkLost says that the link ended before the reply.
	errLinkLost = fmt.Errorf("%w: the link to the relay ended", runner.ErrNoAnswer)
)

// outcomeOf returns how a call to a worker that failed ended, and why a worker refused.
func outcomeOf(err error) (outcome, runner.RefusalReason) {
	var refusal *runner.Refusal
	switch {
	case errors.As(err, &refusal):
		return refused, refusal.Reason
	case errors.Is(err, runner.ErrIncarnationGone):
		return incarnationGone, ""
	}
	return unanswered, ""
}

// fenced reports whether the relay, or the worker, knows of a later term.
func (r *reply) fenced() bool {
	return r.Outcome == refused && r.Reason == string(runner.Fenced)
}

// err returns the error that runner.Client names for the outcome of a reply.
func (r *reply) err() error {
	switch r.Outcome {
	case answered:
		return nil
	case refused:
		return &runner.Refusal{Reason: runner.RefusalReason(r.Reason)}
	case incarnationGone:
		return runner.ErrIncarnationGone
	case expired:
		return errNotSent
	}
	return fmt.Errorf("%w: %s", runner.ErrNoAnswer, r.Detail)
}
