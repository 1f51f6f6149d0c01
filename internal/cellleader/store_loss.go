package cellleader

import (
	"time"

	"gentianstand/internal/cellpeer/cellpb"
)

// storeLoss describes an owner's loss of the store. The zero value is no loss.
type storeLoss struct {
	// duration is for how long the owner had not reached the store when it answered.
	duration time.Duration
	// askedAt is when the ping was sent.
	askedAt time.Time
}

func storeLossOf(reply *cellpb.PingReply) time.Duration {
	return time.Duration(reply.StoreLostMillis) * time.Millisecond
}

// ifRecent returns the loss, or none if a later answer could have arrived meanwhile.
func (s storeLoss) ifRecent(now time.Time) storeLoss {
	if now.Sub(s.askedAt) > 2*lateAnswerTimeout {
		return storeLoss{}
	}
	return s
}
