package runner

// Incarnation is when an incarnation of a worker started, in Unix milliseconds by the worker's
// own time of day, or 0 if that is not known. A worker may start again under its id; the
// two together name an incarnation.
type Incarnation int64
