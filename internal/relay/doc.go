// Package relay carries an owner's orders to workers through other instances.
//
// One instance owns a cell and makes all its decisions. If the owner also called every
// worker itself, its network, CPU and memory would limit the size of the cell: an HTTP call
// costs headers in both directions and several wake-ups, and each worker holds a call open.
// Each worker is therefore reached through one instance of its own zone, chosen by Rank.
// The owner keeps one connection to each of these relays, a Link, on which requests and
// replies are short frames. The relay's Server carries the requests out over its own
// connections to the workers.
//
//	Pool.Start ─> Rank ─> Link ─ frames ─> Server ─> worker
//	           └─ this instance itself, or no relay answers ─> worker
//
// A relay makes no decisions and keeps no state. For the owner it is a part of the network
// path to the worker: an order without an answer may have been carried out, or may still
// be, and leases, run numbers and fencing tokens work as they do for direct calls. Two
// relays for one worker, or a relay that resumes after a pause, are therefore harmless.
package relay
