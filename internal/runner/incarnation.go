package runner

// Incarnation identifies one process lifetime of a worker: its start time in Unix
// milliseconds on the worker's wall clock, or 0 if unknown. A worker may restart under the
// same id, so only the id and the incarnation together name a process.
type Incarnation int64
