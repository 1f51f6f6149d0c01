package runner

import "errors"

var (
	// ErrIncarnationGone says that another incarnation answers at the address: the one
	// that was meant has ended, and everything that ran on it.
	ErrIncarnationGone = errors.New("another incarnation of the worker answered")
	// ErrNoAnswer says that the order may have been carried out, or may be
	// carried out seconds later.
	ErrNoAnswer = errors.New("the worker did not answer")
)
