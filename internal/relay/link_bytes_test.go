package relay

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gentianstand/internal/cellpeer"
	"gentianstand/internal/runner"
)

// Load: a burst of 1,000 starts and as many polls, which over HTTP took 1.6 KB per pair and
// saturated a machine's 2 Mbit/s link. Limit: a third of that.
func TestBytesOfABurst(t *testing.T) {
	s := newSite(t)
	var mu sync.Mutex
	bytes := 0
	count := func(n int) {
		mu.Lock()
		defer mu.Unlock()
		bytes += n
	}
	counting := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialRelay(ctx, address)
		return &countedConn{conn, count}, err
	}
	l := openLink(cellpeer.Instance{Name: "edge-1", Address: s.proxy.Address()}, counting, linkEvents{ended: func(*Link) {}}, logger(t))
	defer l.endWithoutBackoff("the test is over")
	const workers, pairs = 50, 20
	var burst sync.WaitGroup
	for range workers {
		burst.Go(func() {
			for range pairs {
				if got := l.do(within(t), callTo(w1, startOf("5c0e7a21d94b36f8.0.1.17", 7))); got.err != nil {
					t.Error(got.err)
				}
				if got := l.do(within(t), callTo(w1, request{Poll: pollFrom(runner.Poll{Token: 7, Wait: time.Second})})); got.err != nil {
					t.Error(got.err)
				}
			}
		})
	}
	burst.Wait()
	if got := bytes / (workers * pairs); got > 1600/3 {
		t.Errorf("a start and a poll take %d bytes", got)
	} else {
		t.Logf("a start and a poll take %d bytes", got)
	}
}

// countedConn counts the bytes in both directions.
type countedConn struct {
	net.Conn
	count func(int)
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.count(n)
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.count(n)
	return n, err
}
