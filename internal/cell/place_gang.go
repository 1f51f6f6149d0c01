package cell

import "time"

// placeGang starts all tasks of a gang or none. Members that wait for others would occupy
// capacity without doing work.
func (c *Cell) placeGang(s *stage, view *planView, fitting []candidate, now time.Time) {
	if len(s.idle) < len(s.tasks) {
		return
	}
	need := s.step.Occupied()
	if !view.allowsCPU(s, need.MilliCPU*int64(len(s.tasks))) {
		return
	}
	fitting = s.sortByRisk(fitting)
	assigned := c.assignGang(s, fitting)
	if s.step.RackLocal {
		assigned = c.assignGangToRack(s, fitting)
	}
	if len(assigned) < len(s.tasks) {
		return
	}
	if view.fasterWait = c.gangWaitsForFaster(s, assigned, view, now); view.fasterWait {
		return
	}
	run := uint64(0)
	for _, t := range s.tasks {
		run = max(run, t.nextRun(c.settings.Term))
	}
	for i, t := range s.tasks {
		c.start(t, assigned[i], run, now)
		view.freeMilliCPU -= need.MilliCPU
	}
}

// gangWaitsForFaster reports whether a gang waits for faster workers because it would end late
// with its slowest member.
func (c *Cell) gangWaitsForFaster(s *stage, assigned []candidate, view *planView, now time.Time) bool {
	slowest, members := assigned[0].w, 0
	for _, member := range assigned {
		byRank := s.preference.Compare(member.w.speedClass, slowest.speedClass)
		if byRank > 0 {
			slowest, members = member.w, 0
		}
		if byRank >= 0 {
			members++
		}
	}
	return c.waitsForFaster(s, slowest, members, view, now)
}

// assignGang returns a candidate for each member of a gang, or fewer if the capacity does not
// suffice.
func (c *Cell) assignGang(s *stage, fitting []candidate) []candidate {
	var assigned []candidate
	need := s.step.Occupied()
	for _, f := range fitting {
		limit := len(s.tasks) - len(assigned)
		if s.step.MaxPerWorker > 0 {
			limit = min(limit, s.step.MaxPerWorker-s.runsPerWorker[f.w])
		}
		for range need.CountIn(f.w.free(), int64(limit)) {
			assigned = append(assigned, f)
		}
		if len(assigned) == len(s.tasks) {
			break
		}
	}
	return assigned
}

// assignGangToRack is assignGang within one rack if a rack has enough capacity. Otherwise it
// uses any workers, as a slow gang is better than none.
func (c *Cell) assignGangToRack(s *stage, fitting []candidate) []candidate {
	byRack := map[string][]candidate{}
	var racks []string
	for _, f := range fitting {
		if byRack[f.w.Rack] == nil {
			racks = append(racks, f.w.Rack)
		}
		byRack[f.w.Rack] = append(byRack[f.w.Rack], f)
	}
	for _, rack := range racks {
		if assigned := c.assignGang(s, byRack[rack]); len(assigned) == len(s.tasks) {
			return assigned
		}
	}
	return c.assignGang(s, fitting)
}
