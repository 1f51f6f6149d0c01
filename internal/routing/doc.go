// Package routing assigns requests to slots of the workers that this instance owns.
//
// Each worker has one owner, and only the owner sends it requests, so slots are counted exactly
// and never overcommitted. A Router has one pool for each service. A pool picks an upstream for
// a request, or puts the request into a bounded queue until its deadline. A request that cannot
// get a slot in time is refused immediately.
package routing
