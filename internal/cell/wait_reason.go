package cell

// WaitReason is why a stage has waited for long.
type WaitReason string

const (
	// NoWorkerFits says that no known worker could hold one task, even when idle.
	NoWorkerFits WaitReason = "no_worker_fits"
	// AllWorkersDenied says that the adviser refused every worker that could.
	AllWorkersDenied WaitReason = "advice_denies"
	// GangTooLarge says that a gang has more members than the workers that may run it
	// hold when they are idle.
	GangTooLarge WaitReason = "too_few_places"
	// OverQuota says that the workspace has as much running as it may.
	OverQuota WaitReason = "over_quota"
	// QuotaTooSmall says that a gang needs more than its workspace may have running.
	QuotaTooSmall WaitReason = "quota_too_small"
	// CatalogBehind says that the owner does not know yet the configuration under which the
	// job was accepted.
	CatalogBehind WaitReason = "catalog_behind"
	// WaitsForCapacity says that the stage could run, and others use the room.
	WaitsForCapacity WaitReason = "no_room"
)
