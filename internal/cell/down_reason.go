package cell

// DownReason is why a lasting task is not at work.
type DownReason string

const (
	// WorkerUnresponsive says that the worker of its run does not answer.
	WorkerUnresponsive DownReason = "worker_silent"
	// RunUnconfirmed says that a run from before this ownership may go on on a worker that was
	// not heard.
	RunUnconfirmed DownReason = "run_unseen"
	// RunStarting says that a run was ordered or has begun.
	RunStarting DownReason = "run_starting"
	// RunStopping says that its run is being stopped.
	RunStopping DownReason = "run_stopping"
	// CrashBackoff says that workers were lost under it time and again.
	CrashBackoff DownReason = "crash_pause"
	// HeldByQuota says that its workspace's quota holds its stage back.
	HeldByQuota DownReason = "quota_holds"
	// AdvicePending says that a question about its stage is under way.
	AdvicePending DownReason = "adviser_asked"
	// NoTicket says that workers have room, none of them with a valid ticket.
	NoTicket DownReason = "no_ticket"
	// WorkersUnavailable says that the workers with room are not used at present: they are
	// silent, leave, are not stored yet, or declined or failed runs.
	WorkersUnavailable DownReason = "workers_avoided"
	// ReservedForOthers says that the workers with room are isolated or reserved.
	ReservedForOthers DownReason = "kept_for_others"
	// CapacityAvailable says that a worker could take it now.
	CapacityAvailable DownReason = "room_free"
	// CapacityExhausted says that no worker that may run it has room.
	CapacityExhausted DownReason = "room_taken"
)
