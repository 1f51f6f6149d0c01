package cellpeer

import (
	"context"
	"sync"

	"gentianstand/internal/cellpeer/cellpb"
)

// PingResult is the result of a ping to one instance.
type PingResult struct {
	Instance Instance
	// Reply is nil if there was no answer.
	Reply *cellpb.PingReply
	// Refused reports that nothing listens at the address; see ConnectionRefused.
	Refused bool
}

// PingAll pings instances concurrently and returns the results as they arrive. The channel
// is buffered and is closed after the last result, so a caller may stop reading early.
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
