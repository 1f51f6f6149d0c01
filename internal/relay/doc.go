// Package relay carries an owner's orders to workers through other instances.
//
// One instance owns a cell and decides alone. If it also spoke to every worker, its
// link, its processor and its memory would bound the cell: an HTTP call costs it headers
// each way and several wake-ups, and each worker holds a call open. So each
// worker is reached through one instance of its own zone, chosen by Rank. The owner
// keeps one connection to each, a Link, on which requests and replies are short frames;
// the relay's Server carries them out with its own connections to the workers.
//
//	Pool.Start ─> Rank ─> Link ─ frames ─> Server ─> worker
//	           └─ this instance itself, or no relay answers ─> worker
//
// A relay decides nothing and keeps nothing. To the owner it is part of the way to the
// worker: an order without an answer may have been carried out, or may be yet, and
// leases, run numbers and fencing tokens hold as they do for calls without a relay. Two
// relays for one worker, or one that comes back after a pause, are therefore harmless.
package relay
