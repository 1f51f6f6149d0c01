package store

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// outage is silent until it ends, and answers after that.
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

// Failure: callers are refused for 0.75 s after a silent store is back.
func TestReturnOfASilentStoreIsNoticedSoon(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		o := &outage{ends: time.Now().Add(3 * time.Second)}
		w := NewMonitored(o)
		go w.ProbeRecovery(ctx, "t", "p", "k")
		callCtx, giveUp := context.WithTimeout(ctx, time.Second)
		defer giveUp()
		_, _ = w.Commit(callCtx, Tx{}) // it is silent
		if w.Reachable() {
			t.Fatal("the loss is not noticed")
		}
		time.Sleep(time.Until(o.ends) + 2*probePeriod)
		if !w.Reachable() {
			t.Error("the return is not noticed")
		}
		cancel()
		synctest.Wait()
	})
}

// Failure: in a store that has turned 100 times slower commits and submissions are made
// again and again, and none is answered in time.
func TestCallsGivenUpTeachPatienceThoughNobodyWasAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slowAnswer = 700 * time.Millisecond
		w := NewMonitored(&scripted{took: slowAnswer})
		for range 2 {
			callCtx, giveUp := context.WithTimeout(t.Context(), w.CallTimeout())
			_, _ = w.Commit(callCtx, Tx{}) // it is given up, or answered late
			giveUp()
		}
		if got := w.CallTimeout(); got <= slowAnswer {
			t.Errorf("waits %v for answers that take %v", got, slowAnswer)
		}
	})
}
