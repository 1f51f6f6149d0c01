// Package worker declares the interface to the agent that the platform runs on every worker.
// Package httpwire implements it over HTTP.
//
// The agent enforces ownership: it remembers the highest epoch that it has seen and rejects
// messages with a lower one. Messages of a superseded owner therefore have no effect, even if
// it was suspended and they arrive late.
package worker

import "context"

// Agent is the agent of one worker.
type Agent interface {
	// Sync is the message through which an owner controls a worker. It claims or keeps the
	// worker under an epoch, extends the lease, starts and stops tasks, and returns the
	// state of the worker's tasks. It is idempotent. It returns ErrStaleEpoch if a later
	// owner has claimed the worker.
	Sync(ctx context.Context, req SyncRequest) (SyncReply, error)
	// QueryRequests returns the states of requests that the caller has sent, in the order
	// of ids. The worker revokes those that it has not received. Unlike Sync, the call
	// needs no epoch: a previous owner may query its own requests.
	QueryRequests(ctx context.Context, ids []string) ([]RequestState, error)
}
