// Package soak runs the real program as separate processes against a stand-in
// of the users' platform and injects faults from outside: processes are killed,
// stopped and paused by signals, connections are delayed, reset, cut one way and
// silenced by a proxy, and the store refuses, loses answers and forgets its
// history. All the while callers submit jobs, and the workers' record is checked
// against the promises.
//
// CI plays a few seconds of fixed seeds. By hand:
//
//	go test ./test/soak -run TestSoak -count=1 -seeds 100-149 -seconds 20
package soak
