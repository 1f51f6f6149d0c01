// Package soak tests the real program, run as separate processes against a simulation of the users'
// platform, under faults that are injected from outside: processes are killed, stopped and paused by
// signals; connections are delayed, reset, cut in one direction and blocked by a proxy, or go silent for
// good while new ones work; most instances are lost at once; the store refuses requests, loses answers and
// drops its history. Meanwhile callers submit jobs, and the record of the workers is checked against the
// system's guarantees: after the faults long-running tasks run again within longRunningRestartTime, and
// accepted jobs end within settleTime.
//
// CI runs a few seconds of fixed seeds. To run others by hand:
//
//	go test ./test/soak -run TestSoak -count=1 -seeds 100-149 -seconds 20
package soak
