package cell

import "gentianstand/internal/resource"

// QuotaWait describes a workspace with tasks that wait for its quota.
type QuotaWait struct {
	Workspace string
	// Used is what the workspace has running. Unconfirmed is what it may also have running on
	// workers that have not reported since the takeover. Cap is its limit.
	Used, Unconfirmed, Cap resource.Amount
	// Version is the version of the configuration that defines the cap.
	Version uint64
	// Tasks is the number of waiting tasks.
	Tasks int
}
