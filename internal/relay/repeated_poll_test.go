package relay

import (
	"testing"
	"time"

	"gentianstand/internal/runner"
)

// Guards against runs whose lease expires because a poll whose link was lost is repeated with a wait that
// is longer than the rest of its time, or over another silent connection.
func TestPollThatIsRepeatedDoesNotWait(t *testing.T) {
	for name, relays := range map[string]int{"through another relay": 2, "directly": 1} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t, relays)
			f.openLinks(t)
			f.pool.direct.answeredAt = time.Now().Add(time.Minute) // direct polls may wait
			link, first := f.pool.route(w1, time.Now()).link, f.used(t)
			first.proxy.SilenceOpen()
			done := make(chan error, 1)
			until := 5 * time.Second
			ctx := within(t)
			go func() {
				_, err := f.pool.Poll(ctx, w1, runner.Poll{Token: 7, Acknowledged: 3, LeaseUntil: &until, Wait: time.Second})
				done <- err
			}()
			awaitPending(t, link)
			first.proxy.Close()
			if err := <-done; err != nil {
				t.Fatal(err)
			}
			workers := f.direct
			if relays > 1 {
				workers = f.used(t).workers
			}
			got := workers.lastPoll
			if workers.polls != 1 || got.Wait != 0 || !got.Reconnect || got.Token != 7 || got.Acknowledged != 3 || got.LeaseUntil == nil || *got.LeaseUntil != until {
				t.Errorf("%d polls, the last is %+v; want one that does not wait, over a new connection", workers.polls, got)
			}
		})
	}
}

// awaitPending waits until a call on the link waits for its reply.
func awaitPending(t *testing.T, l *Link) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		l.mu.Lock()
		pending := len(l.pending)
		l.mu.Unlock()
		if pending > 0 {
			return
		}
	}
	t.Fatal("no call was written")
}
