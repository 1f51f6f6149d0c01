package cell

import (
	"cmp"
	"hash/maphash"
	"slices"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/job"
)

// partContent identifies the content of a part as it was last written.
type partContent uint64

const (
	// unknownContent is the content of a part whose write has failed or was made by another owner.
	unknownContent partContent = iota
	// noContent is the content of a part whose row is removed.
	noContent
)

// partSeed is the seed of the hashes of parts, which are compared within the process only.
var partSeed = maphash.MakeSeed()

// hashPart returns the hash of the content of a part.
func hashPart(tasks []*task) partContent {
	var h maphash.Hash
	h.SetSeed(partSeed)
	any := false
	for _, t := range tasks {
		if !t.hasProgress() {
			continue
		}
		any = true
		maphash.WriteComparable(&h, [5]uint64{uint64(t.index), t.lastRun, uint64(len(t.failedRuns)), uint64(len(t.crashes.crashed)), uint64(len(t.crashes.unresponsive))})
		maphash.WriteComparable(&h, [2]int64{int64(t.crashes.immediate), t.crashes.lostAtMillis()})
		_, _ = h.WriteString(t.checkpoint) // a hash never fails
		for _, runs := range [][]uint64{t.failedRuns, t.crashes.crashed, t.crashes.unresponsive} {
			for _, run := range runs {
				maphash.WriteComparable(&h, run)
			}
		}
	}
	if !any {
		return noContent
	}
	return max(partContent(h.Sum64()), noContent+1)
}

// changedParts returns the parts that differ from the store and fit into the room, and whether these are
// all that differ.
func (c *Cell) changedParts(j *jobState, room *commitRoom) (parts []CommitPart, all bool) {
	wanted := map[job.PartID]struct{}{}
	if j.split && j.final == "" {
		for _, s := range j.stages {
			for first := 0; first < len(s.tasks); first += job.PartTasks {
				id := job.PartID{Occurrence: s.id.Occurrence, Step: s.id.Step, First: first}
				tasks := s.tasks[first:min(first+job.PartTasks, len(s.tasks))]
				content := hashPart(tasks)
				stored, exists := j.parts[id]
				if content == noContent {
					continue
				}
				wanted[id] = struct{}{}
				if exists && content == stored {
					continue
				}
				p := c.partProgress(s, tasks)
				size := p.EncodedSize()
				if !room.fits(1, size) {
					return parts, false
				}
				room.take(1, size)
				j.setPart(id, content)
				parts = append(parts, CommitPart{ID: id, Progress: p})
			}
		}
	}
	for id, content := range j.parts {
		if _, keep := wanted[id]; keep || content == noContent {
			continue
		}
		if !room.fits(1, 0) {
			return parts, false
		}
		room.take(1, 0)
		j.setPart(id, noContent)
		parts = append(parts, CommitPart{ID: id})
	}
	return parts, true
}

func (j *jobState) setPart(id job.PartID, content partContent) {
	if j.parts == nil {
		j.parts = map[job.PartID]partContent{}
	}
	j.parts[id] = content
}

// partProgress returns the content of a part. Checkpoints that do not fit into a row are left out,
// longest first: the next run of their task then starts from scratch.
func (c *Cell) partProgress(s *stage, tasks []*task) *job.Progress {
	kept := job.StageProgress{Occurrence: s.id.Occurrence, Step: s.id.Step}
	for _, t := range tasks {
		if t.hasProgress() {
			kept.Tasks = append(kept.Tasks, t.progress())
		}
	}
	p := &job.Progress{Stages: []job.StageProgress{kept}}
	for c.settings.RowBytes > 0 && p.EncodedSize() > c.settings.RowBytes {
		longest := slices.MaxFunc(kept.Tasks, func(a, b job.TaskProgress) int { return cmp.Compare(len(a.Checkpoint), len(b.Checkpoint)) })
		if longest.Checkpoint == "" {
			break
		}
		c.stats.CheckpointsNotStored++
		c.log.WithFields(logrus.Fields{"stage": s.id.String(), "task": longest.Index, "bytes": len(longest.Checkpoint)}).Warn("checkpoint_not_stored")
		at := slices.IndexFunc(kept.Tasks, func(t job.TaskProgress) bool { return t.Index == longest.Index })
		kept.Tasks[at].Checkpoint = ""
	}
	return p
}

// partsStored handles parts that were stored or removed.
func (j *jobState) partsStored(parts []CommitPart) {
	for _, p := range parts {
		if p.Progress == nil && j.parts[p.ID] == noContent {
			delete(j.parts, p.ID)
		}
	}
}

// partsNotStored handles parts whose write failed or whose outcome is unknown.
func (j *jobState) partsNotStored(parts []CommitPart) {
	for _, p := range parts {
		j.setPart(p.ID, unknownContent)
	}
}

// exceedsRow reports whether a job's progress exceeds a row.
func (c *Cell) exceedsRow(p *job.Progress) bool {
	return c.settings.RowBytes > 0 && p.EncodedSize() > c.settings.RowBytes
}
