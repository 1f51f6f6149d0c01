package cell

import (
	"cmp"
	"slices"

	"gentianstand/internal/job"
)

// maxKeptDone is the number of done occurrences of a loaded job that are created if their tasks may run
// twice, as copies of their tasks may still run. It covers what can have ended within a lease.
const maxKeptDone = 64

// restoreDone restores the occurrences that are done. An earlier version lists their stages only.
func (j *jobState) restoreDone(p *job.Progress) {
	j.doneOccurrences = p.DoneOccurrences
	if j.record.Schedule == nil {
		return
	}
	steps := j.record.Steps
	done := map[int]int{}
	for i := range p.Stages {
		s := &p.Stages[i]
		if s.Step >= 0 && s.Step < len(steps) && s.AllDone(steps[s.Step].Count) {
			done[s.Occurrence]++
		}
	}
	var complete []int
	for k, n := range done {
		if n >= len(steps) && !j.doneOccurrences.Contains(k) {
			complete = append(complete, k)
		}
	}
	slices.SortFunc(complete, cmp.Compare[int])
	if slices.ContainsFunc(steps, func(s job.Step) bool { return s.AllowDuplicates }) {
		complete = complete[:max(0, len(complete)-maxKeptDone)]
	}
	for _, k := range complete {
		j.doneOccurrences = j.doneOccurrences.Add(k)
	}
}

// maxListedBytes bounds the size of the stages that are listed for earlier versions. It covers some
// hundred occurrences; with 1,000 jobs an owner loads 4 MB of them.
const maxListedBytes = 4096

// listDone adds the done occurrences to a progress, and their stages if these are few.
func (j *jobState) listDone(p *job.Progress) {
	p.DoneOccurrences = j.doneOccurrences
	size := 0
	for i := range j.record.Steps {
		size += listedStageBytes + j.record.Steps[i].Count/8
	}
	if size*j.doneOccurrences.Count() > maxListedBytes {
		return
	}
	p.DoneListed = true
	j.doneOccurrences.Each(func(k int) {
		for i := range j.record.Steps {
			if !j.hasOccurrence(k) {
				p.Stages = append(p.Stages, job.DoneStage(k, i, j.record.Steps[i].Count))
			}
		}
	})
}

// listedStageBytes is the size of a listed stage without the bits of its tasks.
const listedStageBytes = 12
