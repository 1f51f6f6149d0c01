package cell

// WaitReason is why a stage has been waiting for long.
type WaitReason string

const (
	// NoWorkerFits means that no known worker could hold a task, even when idle.
	NoWorkerFits WaitReason = "no_worker_fits"
	// AllWorkersDenied means that the adviser denied every worker that could hold a task.
	AllWorkersDenied WaitReason = "advice_denies"
	// GangTooLarge means that a gang has more members than fit on the workers that may run it,
	// even when they are idle.
	GangTooLarge WaitReason = "too_few_places"
	// OverQuota means that the workspace has used up its quota.
	OverQuota WaitReason = "over_quota"
	// QuotaTooSmall means that a gang needs more than the quota of its workspace.
	QuotaTooSmall WaitReason = "quota_too_small"
	// CatalogBehind means that the owner does not have the configuration yet under which the
	// job was accepted.
	CatalogBehind WaitReason = "catalog_behind"
	// WaitsForTicket means that workers have free capacity for a task, and that the stage holds no
	// ticket for any of them.
	WaitsForTicket WaitReason = "no_ticket"
	// WaitsForCapacity means that the stage could run, but other tasks occupy the capacity.
	WaitsForCapacity WaitReason = "no_room"
)
