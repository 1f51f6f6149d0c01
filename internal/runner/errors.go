package runner

import "errors"

var (
	// ErrIncarnationGone reports that another incarnation answered at the address: the
	// one that was addressed has ended, and with it everything that ran on it.
	ErrIncarnationGone = errors.New("another incarnation of the worker answered")
	// ErrNoAnswer reports that the outcome is unknown: the order may have been carried
	// out, or may still be, seconds later.
	ErrNoAnswer = errors.New("the worker did not answer")
)
