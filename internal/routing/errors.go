package routing

import "errors"

// ErrNeverArrived says that the worker has not seen the request and will
// refuse it from now on: it did not run. The connection had gone silent.
var ErrNeverArrived = errors.New("the request never arrived at the worker")

// ErrAnswerLost says that the worker has finished the request, but the answer
// did not come through: it ran.
var ErrAnswerLost = errors.New("the answer of the worker was lost")
