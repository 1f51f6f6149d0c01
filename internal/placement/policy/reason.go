package policy

// Reason says why a request was placed or not.
type Reason string

// The reasons.
const (
	Found Reason = "found"
	// NoCapacity means that no worker has the room now.
	NoCapacity Reason = "no_room"
	// NotEnoughForGang means that some tasks of a gang would have room, but not all.
	NotEnoughForGang Reason = "not_enough_room_for_all"
	// NoWorkerLargeEnough means that no worker could hold the task even when empty.
	NoWorkerLargeEnough Reason = "no_worker_is_large_enough"
	// OverQuota means that the team's quota is used up.
	OverQuota Reason = "team_quota_used_up"
	// WaitsForDependency means that a dependency is not ready.
	WaitsForDependency Reason = "waits_for_dependency"
	// WaitsForTable means that the work must not be repeated, so its start has
	// to be written down first, and the table does not answer.
	WaitsForTable Reason = "waits_for_table"
	// BackingOff means that a failed attempt is to be repeated later.
	BackingOff Reason = "backing_off_after_failure"
	// Recovering means that workers have not been accounted for since the
	// planner changed.
	Recovering Reason = "recovering"
)
