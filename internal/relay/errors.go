package relay

import (
	"errors"
	"fmt"
	"io"
	"syscall"

	"gentianstand/internal/runner"
)

var (
	// errNotSent reports that nothing was sent, so the call can be made on another path.
	errNotSent = errors.New("the request was not sent to the relay")
	// errLinkLost reports that the link ended before the reply arrived.
	errLinkLost = fmt.Errorf("%w: the link to the relay ended", runner.ErrNoAnswer)
	// errLinkNotAccepted reports that an instance answered the request to open a link otherwise.
	errLinkNotAccepted = errors.New("the instance accepts no link")
)

// refusals are the errors in opening a link that come from the relay's machine. Others may be this
// instance's own.
var refusals = []error{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.EPIPE, io.EOF, io.ErrUnexpectedEOF, errLinkNotAccepted}

// outcomeOf maps the error of a call to a worker to an outcome, and to the reason if the
// worker refused.
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

// fenced reports whether the relay or the worker knows a later term.
func (r *reply) fenced() bool {
	return r.Outcome == refused && r.Reason == string(runner.Fenced)
}

// err returns the error that the contract of runner.Client defines for the reply's outcome.
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
