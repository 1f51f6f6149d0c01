// Package advicebudget decides how calls to the placement adviser are spent when they are scarcer
// than capacity. A call takes up to a second of one of few concurrency slots, and its tickets are
// valid for a few seconds, so a call is wasted if its stage cannot use the tickets in that time.
//
// Choose picks the workers of a call, Shares and CallTimes learn what answers look like, Turns lets
// less urgent work ask at times, and QuickReserve sizes the part of the instances that is kept for
// quick calls. The package performs no I/O.
package advicebudget
