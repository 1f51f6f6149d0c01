// Package idempotency makes a request with an idempotency key run at most
// once, through whichever instance its repeats come.
//
// Each key has a home: one of the shards, by hash. Only the instance that owns
// that shard may let the request go, and only after the key has been written:
// to the table, or, while an outage of the table is confirmed, to the object
// store. A new owner reads what was written before it answers for the shard,
// and waits until owners before it have certainly stopped. So a key that is
// not found was never let go, and one that is found without an end is answered
// with the only thing that is known: it may have run.
package idempotency
