package cellowner

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
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

// endingLeadership is a leadership whose last confirmation expires after the first question.
type endingLeadership struct{ asked int }

func (l *endingLeadership) Confirmed() bool   { l.asked++; return l.asked == 1 }
func (l *endingLeadership) Superseded(string) {}

// Guards against orders that are decided after the ownership may have ended: the successor takes the
// steps for new that follow a run which it saw at work later than that.
func TestPlanThatOutlastsTheConfirmationGivesNoOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &lossyWorker{}
		o := ownerBeforeItsPlan(t, client)
		o.deps.Leadership = &endingLeadership{}
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		o.wakePlanner()
		o.planLoop(ctx)
		synctest.Wait()
		if len(client.starts) > 0 {
			t.Errorf("started %v although the ownership was not confirmed any more", client.starts)
		}
	})
}
