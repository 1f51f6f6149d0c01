package cellpeer

import (
	"context"
	"sync"

	"gentianstand/internal/cellpeer/cellpb"
)

// PingResult is what an instance answered to a ping.
type PingResult struct {
	Instance Instance
	// Reply is nil if there was no answer.
	Reply *cellpb.PingReply
	// Refused says that nothing listens there; see Refused.
	Refused bool
}

// PingAll sends a ping to instances at the same time and returns the answers as
// they come. The channel is closed after the last one; a caller that has heard
// enough may leave the rest unread.
func (c *Clients) PingAll(ctx context.Context, instances []Instance, ping *cellpb.PingRequest) <-chan PingResult {
	answers := make(chan PingResult, len(instances))
	var pings sync.WaitGroup
	for _, instance := range instances {
		pings.Go(func() {
			reply, err := c.To(instance.Address).Ping(ctx, ping)
			if err != nil {
				reply = nil
			}
			answers <- PingResult{instance, reply, ConnectionRefused(err)}
		})
	}
	go func() {
		pings.Wait()
		close(answers)
	}()
	return answers
}
