// Package callerlimit decides how much an instance holds for all of its callers together: open
// connections, the memory of request bodies, and requests in progress. Without common limits, callers
// that are each within the limits of one request can exceed the memory and the descriptors of the
// instance.
//
// When a limit is reached, a new caller takes the place of one that has stalled: the connection that has
// made no progress for the longest time, or the unfinished body that holds the most memory. A small body
// also takes the place of a larger one that has not stalled. So callers that send small requests promptly
// are served beside any number of those that do not. Requests in progress are never interrupted. The
// package does no I/O; the servers carry out its decisions.
package callerlimit
