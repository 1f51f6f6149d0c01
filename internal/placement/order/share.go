package order

import "gentianstand/internal/resource"

// Share is the resource usage of a team, its quota and its weight.
type Share struct {
	Used   resource.Amount
	Quota  resource.Amount
	Weight int64
}

// DominantShare returns the largest used fraction over the dimensions of total, divided by the
// team's weight (dominant resource fairness: Ghodsi et al., NSDI 2011).
func (s Share) DominantShare(total resource.Amount) float64 {
	most := 0.0
	most = max(most, ratio(s.Used.MilliCPU, total.MilliCPU))
	most = max(most, ratio(s.Used.MemoryMiB, total.MemoryMiB))
	most = max(most, ratio(s.Used.Accelerators, total.Accelerators))
	return most / float64(max(s.Weight, 1))
}

// OverQuota reports whether the team uses more than its quota in any dimension.
func (s Share) OverQuota() bool { return !s.Used.Fits(s.Quota) }

func ratio(part, whole int64) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
