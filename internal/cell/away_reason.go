package cell

// AwayReason is why a lasting task is not at work.
type AwayReason string

const (
	// WorkerSilent says that the worker of its run does not answer.
	WorkerSilent AwayReason = "worker_silent"
	// RunUnseen says that a run from before this ownership may go on on a worker that was
	// not heard.
	RunUnseen AwayReason = "run_unseen"
	// RunStarting says that a run was ordered or has begun.
	RunStarting AwayReason = "run_starting"
	// RunStopping says that its run is being stopped.
	RunStopping AwayReason = "run_stopping"
	// CrashPause says that workers were lost under it time and again.
	CrashPause AwayReason = "crash_pause"
	// QuotaHolds says that its workspace's quota holds its stage back.
	QuotaHolds AwayReason = "quota_holds"
	// AdviserAsked says that a question about its stage is under way.
	AdviserAsked AwayReason = "adviser_asked"
	// NoTicket says that workers have room, none of them with a valid ticket.
	NoTicket AwayReason = "no_ticket"
	// WorkersAvoided says that the workers with room are not used at present: they are
	// silent, leave, are not stored yet, or declined or failed runs.
	WorkersAvoided AwayReason = "workers_avoided"
	// KeptForOthers says that the workers with room are isolated or reserved.
	KeptForOthers AwayReason = "kept_for_others"
	// RoomFree says that a worker could take it now.
	RoomFree AwayReason = "room_free"
	// RoomTaken says that no worker that may run it has room.
	RoomTaken AwayReason = "room_taken"
)
