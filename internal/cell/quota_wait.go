package cell

import "gentianstand/internal/resource"

// QuotaWait describes a workspace of which tasks wait for its quota.
type QuotaWait struct {
	Workspace string
	// Used is what it has running, Unconfirmed what it may have running besides on workers that
	// were not heard since the take-over, and Cap what it may have.
	Used, Unconfirmed, Cap resource.Amount
	// Version is that of the configuration that the cap is from.
	Version uint64
	// Tasks is how many tasks wait.
	Tasks int
}
