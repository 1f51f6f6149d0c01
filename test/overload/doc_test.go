// Package overload tests the real programs, run as separate processes on loopback addresses with low
// limits, against clients that ignore the limits of the protocol: many large bodies at once, most of which
// never end. It checks what does not depend on the speed of the machine: the process lives, its memory and
// its open descriptors stay within the limits of its machine, and one ordinary request is served beside the
// crowd and after it.
//
// Each test measures a process, so the package runs alone:
//
//	go test ./test/overload -count=1
package overload
