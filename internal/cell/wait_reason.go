package cell

// WaitReason is why a stage has waited for long.
type WaitReason string

const (
	// NoWorkerFits says that no known worker could hold one task, even when idle.
	NoWorkerFits WaitReason = "no_worker_fits"
	// AdviceDenies says that the adviser refused every worker that could.
	AdviceDenies WaitReason = "advice_denies"
	// TooFewPlaces says that a gang has more members than the workers that may run it
	// hold when they are idle.
	TooFewPlaces WaitReason = "too_few_places"
	// NoRoom says that the stage could run, and others use the room.
	NoRoom WaitReason = "no_room"
)
