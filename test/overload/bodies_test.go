package overload

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// paddedJob returns a valid job of size bytes.
func paddedJob(size int) string {
	const head, tail = `{"spec":"10ms","steps":[{"count":1,"cpu":1,"mem_mb":1,"estimate_ms":10}]`, `}`
	return head + strings.Repeat(" ", size-len(head)-len(tail)) + tail
}

// submission returns the submission of a job by client n of a crowd, with a body of length bytes.
func submission(n, length int, pieces []string) request {
	return request{method: http.MethodPost, path: fmt.Sprintf("/plain/%016x", n+1), length: length, pieces: pieces}
}

// ordinaryID is the id of an ordinary caller's job.
const ordinaryID = "00000000ffff0001"

// Guards against a process that holds the bodies of all clients without a common limit, nine in ten of
// which never end, and that exceeds the memory or the descriptors of its machine.
func TestManyBodiesThatStopShortOfTheirEnd(t *testing.T) {
	body := paddedJob(maxBodyBytes)
	for _, s := range shapes {
		t.Run(s.name, func(t *testing.T) {
			w := newWorld(t)
			whole, short := s.encode(body, false), s.encode(body, true)
			c := newCrowd(w.callersAddress(), crowdSize, s, func(n int) request {
				if n%10 == 0 {
					return submission(n, len(body), whole)
				}
				return submission(n, len(body), short)
			})
			c.waitSent()
			w.serveOrdinary(ordinaryID)
			answers := c.leave()
			w.serveOrdinary("00000000ffff0002")
			w.finish()
			t.Logf("answers by status: %s", statuses(answers))
			w.checkAnswers(answers)
		})
	}
}

// Guards against a process that holds all bodies that arrive at the same time, when none of them stops.
func TestManyCompleteBodies(t *testing.T) {
	body := paddedJob(maxBodyBytes)
	for _, s := range shapes {
		t.Run(s.name, func(t *testing.T) {
			w := newWorld(t)
			whole := s.encode(body, false)
			c := newCrowd(w.callersAddress(), crowdSize, s, func(n int) request { return submission(n, len(body), whole) })
			c.waitSent()
			w.serveOrdinary(ordinaryID)
			answers := c.leave()
			w.finish()
			t.Logf("answers by status: %s", statuses(answers))
			w.checkAnswers(answers)
		})
	}
}

// Guards against bodies that stop short of their end at a path, or with a method, that does not need
// them: a refusal that waits for the rest holds the connection for good.
func TestManyUnneededBodiesThatStopShortOfTheirEnd(t *testing.T) {
	body := paddedJob(maxBodyBytes)
	targets := []request{
		{method: http.MethodPost, path: "/unknown/0000000000000001"},
		{method: http.MethodPost, path: "/plain/no-id"},
		{method: http.MethodGet, path: "/plain/0000000000000001"},
		{method: http.MethodDelete, path: "/plain/0000000000000001"},
		{method: http.MethodPut, path: "/plain/0000000000000001"},
	}
	for _, s := range shapes {
		t.Run(s.name, func(t *testing.T) {
			w := newWorld(t)
			short := s.encode(body, true)
			c := newCrowd(w.callersAddress(), crowdSize, s, func(n int) request {
				r := targets[n%len(targets)]
				r.length, r.pieces = len(body), short
				return r
			})
			c.waitSent()
			w.serveOrdinary(ordinaryID)
			t.Logf("answers by status: %s", statuses(c.leave()))
			w.finish()
		})
	}
}

// Guards against connections that send nothing, or part of a header, and use up the descriptors.
func TestManyConnectionsWithoutARequest(t *testing.T) {
	for _, text := range []string{"", "POST /plain/0000000000000001 HTTP/1.1\r\nHost: desk"} {
		t.Run(fmt.Sprintf("%d bytes", len(text)), func(t *testing.T) {
			w := newWorld(t)
			c := newSilentCrowd(t, w.callersAddress(), crowdSize, text)
			w.serveOrdinary(ordinaryID)
			c.leave()
			w.finish()
		})
	}
}

// Guards against limits that a single request inside the limits of the protocol meets.
func TestLargestBodyIsServedInCalm(t *testing.T) {
	body := paddedJob(maxBodyBytes)
	w := newWorld(t)
	for n, s := range shapes {
		c := newCrowd(w.callersAddress(), 1, s, func(int) request { return submission(n, len(body), s.encode(body, false)) })
		w.waitFor("the job is answered", func() bool { return c.answered() == 1 })
		if a := c.leave()[0]; a.status != http.StatusOK {
			t.Errorf("%s: status %d, want 200", s.name, a.status)
		}
	}
	w.finish()
}
