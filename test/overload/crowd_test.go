package overload

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// request is what one member of a crowd sends.
type request struct {
	method, path string
	// length is the length of the body, and pieces is what is sent of it, as shape.encode returns it.
	length int
	pieces []string
}

// answer is the status that a member of a crowd got, or 0 if its connection ended without one.
type answer struct {
	request request
	status  int
}

// crowd is a number of clients that send at the same time, each over its own connection, and stay
// connected until leave is called.
type crowd struct {
	sent  sync.WaitGroup
	ended sync.WaitGroup

	mu      sync.Mutex
	conns   []net.Conn
	answers []answer
}

// newCrowd starts size clients. Each sends the request that next returns for its number.
func newCrowd(address string, size int, s shape, next func(n int) request) *crowd {
	c := &crowd{}
	for n := range size {
		c.sent.Add(1)
		c.ended.Add(1)
		go c.join(address, s, next(n))
	}
	return c
}

// join sends one request and waits for its answer, or for the end of the connection.
func (c *crowd) join(address string, s shape, r request) {
	defer c.ended.Done()
	conn, err := net.DialTimeout("tcp", address, waitTimeout)
	if err != nil {
		c.add(answer{request: r})
		c.sent.Done()
		return
	}
	c.mu.Lock()
	c.conns = append(c.conns, conn)
	c.mu.Unlock()
	go func() {
		defer c.sent.Done()
		_ = conn.SetWriteDeadline(time.Now().Add(waitTimeout))
		_ = s.send(conn, r) // the server may refuse the rest
	}()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		c.add(answer{request: r})
		return
	}
	defer resp.Body.Close()
	c.add(answer{r, resp.StatusCode})
}

func (c *crowd) add(a answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, a)
}

// newSilentCrowd opens size connections and sends text over each, which is no whole request.
func newSilentCrowd(t *testing.T, address string, size int, text string) *crowd {
	t.Helper()
	c := &crowd{}
	for range size {
		conn, err := net.DialTimeout("tcp", address, waitTimeout)
		if err != nil {
			t.Fatal(err)
		}
		c.conns = append(c.conns, conn)
		_, _ = io.WriteString(conn, text) // the server may have closed the connection
	}
	return c
}

// answered returns the number of clients that have an answer or whose connection has ended.
func (c *crowd) answered() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.answers)
}

// waitSent waits until each client has sent its bytes or cannot send more.
func (c *crowd) waitSent() { c.sent.Wait() }

// leave closes the connections and returns the answers.
func (c *crowd) leave() []answer {
	c.sent.Wait()
	c.mu.Lock()
	for _, conn := range c.conns {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.ended.Wait()
	return c.answers
}

// statuses counts answers by status.
func statuses(answers []answer) string {
	counts := map[int]int{}
	for _, a := range answers {
		counts[a.status]++
	}
	return fmt.Sprint(counts)
}
