package preemption

import (
	"slices"
	"time"
)

// Verdict is the decision about one demand.
type Verdict struct {
	// Victims are the indexes of the runs to stop.
	Victims []int
	// Lost is the work that the stops lose, in processor-seconds.
	Lost float64
	// Refusal is why there are no victims, or "".
	Refusal Refusal
}

// Choose returns the runs to stop for a demand. It stops none if the demand's budget does not
// suffice for all its tasks: with one task late, the job is late. The runs are on different
// workers.
func Choose(d Demand, stop time.Duration, runs []Run) Verdict {
	if refusal := d.Refusal(stop); refusal != "" {
		return Verdict{Refusal: refusal}
	}
	order := make([]int, 0, len(runs))
	for i := range runs {
		if runs[i].Frees > 0 {
			order = append(order, i)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int { return runs[a].compare(&runs[b]) })
	var v Verdict
	missing := d.Tasks
	for _, i := range order {
		if missing <= 0 {
			break
		}
		if v.Lost+runs[i].Lost > d.Budget {
			continue
		}
		v.Victims = append(v.Victims, i)
		v.Lost += runs[i].Lost
		missing -= runs[i].Frees
	}
	if missing > 0 {
		return Verdict{Refusal: TooCostly}
	}
	return v
}
