package routing

import "errors"

// ErrNeverArrived means that the worker has not received the request and will refuse it from
// now on, so the request did not run. The connection had stopped delivering data.
var ErrNeverArrived = errors.New("the request never arrived at the worker")

// ErrAnswerLost means that the worker has finished the request but its answer did not arrive,
// so the request ran.
var ErrAnswerLost = errors.New("the answer of the worker was lost")
