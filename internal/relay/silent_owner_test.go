package relay

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gentianstand/internal/runner"
)

// servedOwner is the owner's end of a session. done receives the error with which the session has ended.
type servedOwner struct {
	conn    net.Conn
	encoder *encoder
	done    chan error
}

// serveOwner starts a session whose frames are read and discarded, as by the buffers on their way.
func serveOwner(t *testing.T) *servedOwner {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }() // ends with the connection
	o := &servedOwner{conn: far, encoder: newEncoder(far), done: make(chan error, 1)}
	session := newSession(near, NewServer(&fakeWorkers{}, nil, logger(t)))
	go func() {
		o.done <- session.run(t.Context())
		_ = near.Close() // as Server.ServeHTTP does
	}()
	return o
}

func (o *servedOwner) poll(t *testing.T) {
	t.Helper()
	c := callTo(w1, request{Poll: pollFrom(runner.Poll{Token: 1})})
	c.Number, c.deadline = 1, time.Now().Add(time.Second)
	if err := o.encoder.encode(c, time.Now()); err != nil {
		t.Error(err)
	}
}

// Guards against sessions of lost owners that keep their connection and goroutines for good: heartbeats
// to a silent peer are written without an error for a long time.
func TestSessionOfASilentOwnerEnds(t *testing.T) {
	for name, polls := range map[string]int{"before its first request": 0, "after a request": 1} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := serveOwner(t)
				defer o.conn.Close()
				for range polls {
					o.poll(t)
				}
				select {
				case <-o.done:
				case <-time.After(10 * time.Minute):
					t.Error("the session goes on after 10 minutes without a request")
				}
			})
		})
	}
}

// Guards against sessions that end although their owner uses them seldom.
func TestSessionOfAnOwnerWithFewRequestsGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := serveOwner(t)
		for range 10 {
			o.poll(t)
			time.Sleep(idleAfter + time.Second)
		}
		select {
		case err := <-o.done:
			t.Errorf("the session has ended: %v", err)
		default:
		}
		_ = o.conn.Close() // ends the session
		<-o.done
	})
}
