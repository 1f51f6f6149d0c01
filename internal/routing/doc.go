// Package routing hands the slots of this instance's own workers to requests.
//
// Each worker has one owner, and only the owner sends it requests, so slots
// are counted exactly and never oversold. A Router has one pool for each
// service; a pool picks the upstream, or queues the request with a bound and
// a deadline. What cannot be met in time is refused at once.
package routing
