package cellowner

import (
	"context"
	"testing"
	"testing/synctest"
)

// Guards against orders of an owner that has said that it gives none any more: its successor takes
// the steps that follow for new.
func TestEndedTermGivesNoMoreOrders(t *testing.T) {
	// Each attempt chooses at random which of two pending signals it handles first.
	const attempts = 64
	for range attempts {
		synctest.Test(t, func(t *testing.T) {
			client := &lossyWorker{}
			o := ownerBeforeItsPlan(t, client)
			ctx, cancel := context.WithCancel(t.Context())
			cancel()
			o.wakePlanner()
			o.planLoop(ctx)
			synctest.Wait()
			if len(client.starts) > 0 {
				t.Fatalf("started %v after the end of the term", client.starts)
			}
		})
	}
}
