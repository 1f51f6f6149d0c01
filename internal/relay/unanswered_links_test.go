package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gentianstand/internal/cellpeer"
	"gentianstand/internal/runner"
)

// muteRelay accepts links and never sends a frame. It returns its address.
func muteRelay(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				in := bufio.NewReader(conn)
				if _, err := http.ReadRequest(in); err != nil {
					return
				}
				if _, err := io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: "+protocol+"\r\n\r\n"); err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, in) // ends with the connection
			}()
		}
	}()
	return listener.Addr().String()
}

// firstRelays returns the names of the first relays of w1.
func firstRelays(f *fleet, n int) []string {
	var names []string
	for _, i := range Rank(w1.ID, w1.Zone, f.directory.Others())[:n] {
		names = append(names, i.Name)
	}
	return names
}

// answeredShare polls workers as an owner does for a while, after a time in which the pool may find out
// which relays work. It returns the share of the answered polls of the worker that is reached worst.
func (f *fleet) answeredShare(t *testing.T, workers []runner.Target, settle, d time.Duration) float64 {
	t.Helper()
	counted := time.Now().Add(settle)
	end := counted.Add(d)
	var mu sync.Mutex
	worst := 1.0
	var polls sync.WaitGroup
	for _, w := range workers {
		polls.Go(func() {
			made, answered := 0, 0
			for time.Now().Before(end) {
				began := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
				_, err := f.pool.Poll(ctx, w, runner.Poll{Token: 1})
				cancel()
				if began.After(counted) {
					made++
					if err == nil {
						answered++
					}
				}
				time.Sleep(200 * time.Millisecond)
			}
			mu.Lock()
			defer mu.Unlock()
			worst = min(worst, float64(answered)/float64(max(1, made)))
		})
	}
	polls.Wait()
	return worst
}

// Guards against workers that stay out of reach beside a working relay, because two others accept links
// and answer nothing.
func TestWorkersAreReachedBesideRelaysThatAcceptLinksAndAnswerNothing(t *testing.T) {
	for _, mute := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d of 5 relays", mute), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 5)
			for _, name := range firstRelays(f, mute) {
				place := slices.IndexFunc(f.directory.others, func(i cellpeer.Instance) bool { return i.Name == name })
				f.directory.others[place].Address = muteRelay(t)
			}
			f.runPool(t)
			if share := f.answeredShare(t, groupOfWorkers(20), 8*time.Second, 6*time.Second); share < 0.85 {
				t.Errorf("%.2f of the polls of a worker are answered, want nearly all", share)
			} else {
				t.Logf("%.2f of the polls of a worker are answered", share)
			}
		})
	}
}

// Guards against workers that stay out of reach because two relays receive nothing any more while their
// heartbeats still arrive.
func TestWorkersAreReachedWhenLinksLoseOneDirection(t *testing.T) {
	for _, lost := range []int{1, 2} {
		t.Run(fmt.Sprintf("%d of 5 links", lost), func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 5)
			f.runPool(t)
			workers := groupOfWorkers(20)
			f.openLinks(t)
			for _, name := range firstRelays(f, lost) {
				f.relays[name].proxy.Cut(true, false)
			}
			if share := f.answeredShare(t, workers, 8*time.Second, 6*time.Second); share < 0.85 {
				t.Errorf("%.2f of the polls of a worker are answered, want nearly all", share)
			} else {
				t.Logf("%.2f of the polls of a worker are answered", share)
			}
		})
	}
}

// partlyDead are workers of which some are lost: calls to these wait for their context.
type partlyDead struct {
	fakeWorkers
	dead map[string]bool
}

func (p *partlyDead) Poll(ctx context.Context, w runner.Target, l runner.Poll) (runner.Report, error) {
	if p.dead[w.ID] {
		ctx, cancel := context.WithTimeout(ctx, 800*time.Millisecond+l.Wait)
		defer cancel()
		<-ctx.Done()
		return runner.Report{}, fmt.Errorf("%w: %w", runner.ErrNoAnswer, ctx.Err())
	}
	return p.fakeWorkers.Poll(ctx, w, l)
}

// Guards against workers that answer, but are not reached for long because calls to lost workers take all
// direct calls.
func TestLostWorkersDoNotKeepOthersFromDirectCalls(t *testing.T) {
	for _, size := range []struct{ dead, live int }{{50, 5}, {300, 3}, {340, 1}} {
		t.Run(fmt.Sprintf("%d of %d workers lost", size.dead, size.dead+size.live), func(t *testing.T) {
			f := newFleet(t, 1)
			f.pool.dial = func(ctx context.Context, _ string) (net.Conn, error) {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			workers := groupOfWorkers(size.dead + size.live)
			direct := &partlyDead{dead: map[string]bool{}}
			for _, w := range workers[:size.dead] {
				direct.dead[w.ID] = true
			}
			f.pool.workers = direct
			f.runPool(t)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var loops sync.WaitGroup
			for _, w := range workers[:size.dead] {
				loops.Go(func() {
					for ctx.Err() == nil {
						callCtx, cancel := context.WithTimeout(ctx, 800*time.Millisecond)
						_, _ = f.pool.Poll(callCtx, w, runner.Poll{Token: 1}) // the worker is lost
						cancel()
						time.Sleep(200 * time.Millisecond)
					}
				})
			}
			f.awaitReached(t, workers[size.dead:])
			cancel()
			loops.Wait()
		})
	}
}

// Load: all relays of a large fleet are lost at once, for an owner with open links and for a new one.
func TestLargeFleetIsReachedWhenAllRelaysAreLost(t *testing.T) {
	for _, survivors := range []int{0, 1} {
		t.Run(fmt.Sprintf("%d of 96 relays left", survivors), func(t *testing.T) {
			d := &fakeDirectory{}
			s := newSite(t)
			for i := range 96 {
				d.others = append(d.others, cellpeer.Instance{Name: fmt.Sprintf("edge-%02d", i), Zone: string(rune('a' + i%8)), Address: fmt.Sprintf("10.0.0.%d:1", i), Incarnation: "1"})
			}
			f := &fleet{directory: d, direct: &fakeWorkers{}}
			f.pool = NewPool(d, f.direct, logger(t))
			f.pool.dial = func(ctx context.Context, address string) (net.Conn, error) {
				if survivors == 1 && address == "10.0.0.0:1" {
					return dialRelay(ctx, s.proxy.Address())
				}
				<-ctx.Done()
				return nil, ctx.Err()
			}
			f.runPool(t)
			workers := groupOfWorkers(350)
			for i := range workers {
				workers[i].Zone = string(rune('a' + i%8))
			}
			f.awaitReached(t, workers)
		})
	}
}
