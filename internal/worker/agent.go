// Package worker declares what gentianstand needs from the agent that the
// platform runs on every worker. The wire is in package httpwire.
//
// The agent enforces ownership: it remembers the highest epoch it has seen
// and refuses everything of a lower one, so an owner that was overtaken while
// it was frozen can do no harm, however late its messages arrive.
package worker

import "context"

// Agent is one worker's agent.
type Agent interface {
	// Sync is the one message of an owner to a worker: it claims or keeps the
	// worker under an epoch, extends the lease, starts and stops tasks, and
	// returns what the worker runs. Repeating a Sync is harmless. It returns
	// ErrStaleEpoch when a later owner has claimed the worker.
	Sync(ctx context.Context, req SyncRequest) (SyncReply, error)
	// QueryRequests returns the states of requests that the caller sent itself, in the
	// order of their ids, and has the worker revoke those it has not seen. Unlike
	// Sync it needs no epoch: an earlier owner may ask about its own requests.
	QueryRequests(ctx context.Context, ids []string) ([]RequestState, error)
}
