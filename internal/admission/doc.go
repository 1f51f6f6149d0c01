// Package admission decides whether a job is taken in when workers are full.
//
// The owner of the cell works out how long the work that was accepted will take
// (Backlog), and tells it with the answers to news of jobs. Each instance keeps the
// newest in a Book and refuses a job that would be far too late, before it is stored: its
// caller is told at once, and when to come back.
package admission
