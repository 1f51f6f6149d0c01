// Package idempotency ensures that a request with an idempotency key is
// executed at most once, whichever instances its retries reach.
//
// Each key has an owning shard, determined by hash. Only the instance that owns
// this shard may send the request, and only after the key has been written: to
// the table or, during a confirmed outage of the table, to the object store. A
// new owner of the shard waits until previous owners have certainly stopped and
// reads the written keys before it answers for the shard. A key that is not
// found therefore belongs to a request that was never sent. A key without a
// recorded end is answered with an unknown outcome: the request may have been
// executed.
package idempotency
