// Package slack decides which workers a stage prefers if workers differ in speed: work with
// little slack prefers fast workers, and work with enough slack prefers the slowest workers on
// which it is still in time, so that fast ones stay free. It also decides whether work that
// would be late on all free workers waits for a faster one. It performs no I/O, and has no
// effect while all workers are about equally fast.
package slack
