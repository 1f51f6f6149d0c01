package fairness

import "time"

// workDepth is the time over which the work of a workspace may exceed its part: wide jobs arrive at
// random, and a few of them in a row are no overload.
const workDepth = 6 * time.Second

// WorkBucket measures the room that the jobs of one workspace take against its part of the
// capacity. Room is the time that all workers need for a job. The zero value is ready to use.
type WorkBucket struct {
	// level is the room in seconds that was taken and is not yet regained.
	level     float64
	drainedAt time.Time
}

// Left returns the room that is left at a time, for a workspace with a part (0 to 1) of the
// capacity. It is negative if the last job took more than was left.
func (b *WorkBucket) Left(part float64, at time.Time) time.Duration {
	return time.Duration((part*workDepth.Seconds() - b.levelAt(part, at)) * float64(time.Second))
}

// Take records a job that takes the given room. A job is never split: it may take more than is
// left, and the workspace has no room until that is regained.
func (b *WorkBucket) Take(part float64, room time.Duration, at time.Time) {
	b.level = b.levelAt(part, at) + room.Seconds()
	if at.After(b.drainedAt) {
		b.drainedAt = at
	}
}

func (b *WorkBucket) levelAt(part float64, at time.Time) float64 {
	if b.drainedAt.IsZero() || !at.After(b.drainedAt) {
		return b.level
	}
	return max(0, b.level-part*at.Sub(b.drainedAt).Seconds())
}

// FullWork returns the room of a workspace that has taken none.
func FullWork(part float64) time.Duration {
	return time.Duration(part * float64(workDepth))
}
