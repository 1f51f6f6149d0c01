package policy

// Reason is why a request was placed or not.
type Reason string

// The reasons of a Decision, and those for which pending work is not placed at all.
const (
	Found Reason = "found"
	// NoCapacity means that no worker has enough free capacity now.
	NoCapacity Reason = "no_room"
	// NotEnoughForGang means that there is free capacity for some tasks of a gang but not for
	// all.
	NotEnoughForGang Reason = "not_enough_room_for_all"
	// NoWorkerLargeEnough means that no worker could hold the task even if it were empty.
	NoWorkerLargeEnough Reason = "no_worker_is_large_enough"
	// OverQuota means that the team has used up its quota.
	OverQuota Reason = "team_quota_used_up"
	// WaitsForDependency means that a dependency is not ready.
	WaitsForDependency Reason = "waits_for_dependency"
	// WaitsForTable means that the work must not run twice, so its start has to be stored
	// first, and the table service does not respond.
	WaitsForTable Reason = "waits_for_table"
	// BackingOff means that a failed attempt will be retried after a delay.
	BackingOff Reason = "backing_off_after_failure"
	// Recovering means that the state of some workers is not known yet after a change of
	// planner.
	Recovering Reason = "recovering"
)
