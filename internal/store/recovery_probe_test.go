package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// outage is a store that answers no call until the outage ends.
type outage struct {
	Store
	ends time.Time
}

func (o *outage) Get(ctx context.Context, table, partition, key string) (Row, error) {
	if time.Now().Before(o.ends) {
		<-ctx.Done()
		return Row{}, ErrUnknown
	}
	return Row{}, nil
}

func (o *outage) Commit(ctx context.Context, _ Tx) (uint64, error) {
	_, err := o.Get(ctx, "", "", "")
	return 1, err
}

// Guards against refusing calls for 0.75 s after the end of an outage.
func TestRecoveryIsDetectedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		o := &outage{ends: time.Now().Add(3 * time.Second)}
		monitored := NewMonitored(o)
		go monitored.ProbeRecovery(ctx, "t", "p", "k")
		callCtx, cancelCall := context.WithTimeout(ctx, time.Second)
		defer cancelCall()
		_, _ = monitored.Commit(callCtx, Tx{}) // not answered
		if monitored.Reachable() {
			t.Fatal("the outage is not detected")
		}
		time.Sleep(time.Until(o.ends) + 2*probePeriod)
		if !monitored.Reachable() {
			t.Error("the recovery is not detected")
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a retry storm: the store becomes 100 times slower, every commit and submission
// times out and is retried, and none is answered in time.
func TestTimedOutCallsRaiseTheCallTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slowAnswer = 700 * time.Millisecond
		monitored := NewMonitored(&scripted{took: slowAnswer})
		for range 2 {
			callCtx, cancelCall := context.WithTimeout(t.Context(), monitored.CallTimeout())
			_, _ = monitored.Commit(callCtx, Tx{}) // times out, or is answered late
			cancelCall()
		}
		if got := monitored.CallTimeout(); got <= slowAnswer {
			t.Errorf("timeout %v for answers that take %v", got, slowAnswer)
		}
	})
}
