package cell

// DownReason is why a long-running task is not working.
type DownReason string

const (
	// WorkerUnresponsive means that the worker of the task's run does not answer.
	WorkerUnresponsive DownReason = "worker_silent"
	// RunUnconfirmed means that a run from before this ownership may still exist on a worker
	// that has not reported.
	RunUnconfirmed DownReason = "run_unseen"
	// RunOrdered means that a start was sent and has no answer yet.
	RunOrdered DownReason = "run_ordered"
	// RunStarting means that the worker answered the start or reported the run, which is not
	// working yet.
	RunStarting DownReason = "run_starting"
	// RunStopping means that the task's run is being stopped.
	RunStopping DownReason = "run_stopping"
	// CrashBackoff means that workers were repeatedly lost under the task.
	CrashBackoff DownReason = "crash_pause"
	// HeldByQuota means that the quota of the task's workspace allows no further start.
	HeldByQuota DownReason = "quota_holds"
	// AdvicePending means that an adviser call for the task's stage is pending.
	AdvicePending DownReason = "adviser_asked"
	// NoTicket means that workers have free capacity, but none with a valid ticket.
	NoTicket DownReason = "no_ticket"
	// WorkersUnresponsive means that the workers with free capacity do not answer.
	WorkersUnresponsive DownReason = "workers_silent"
	// WorkersUnavailable means that the workers with free capacity are not used at present:
	// some answer, but are evacuated, not stored yet, or have refused or failed runs.
	WorkersUnavailable DownReason = "workers_avoided"
	// ReservedForOthers means that the workers with free capacity are isolated or reserved.
	ReservedForOthers DownReason = "kept_for_others"
	// CapacityAvailable means that a worker could run the task now.
	CapacityAvailable DownReason = "room_free"
	// CapacityExhausted means that no worker that may run the task and stays has free capacity.
	CapacityExhausted DownReason = "room_taken"
)
