// Package admission decides whether a new job is accepted while workers are at capacity.
//
// The owner of the cell estimates how long the accepted work will take (Backlog) and reports
// the estimate in its responses to notifications of jobs. Each instance keeps the newest
// estimate in a Controller and refuses a job that would be far too late, before it is stored.
// The caller gets an immediate answer with a retry delay.
package admission
