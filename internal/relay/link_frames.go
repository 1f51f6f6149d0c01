package relay

import (
	"bufio"
	"errors"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentianstand/internal/advice"
)

// write encodes the queued calls in order. Calls that are queued close together share a
// packet.
func (l *Link) write(conn net.Conn) {
	out := bufio.NewWriter(conn)
	e := newEncoder(out)
	for {
		for _, c := range l.takeQueue() {
			if err := e.encode(c, time.Now()); err != nil {
				l.end("not encoded", err)
				return
			}
		}
		if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			l.end("not written", err)
			return
		}
		if err := out.Flush(); err != nil {
			l.end("not written", err)
			return
		}
		select {
		case <-l.wake:
			time.Sleep(coalesceDelay)
		case <-l.done:
			return
		}
	}
}

// takeQueue moves the queued calls to pending and returns them. It skips calls whose
// callers have stopped waiting.
func (l *Link) takeQueue() []*call {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return nil
	}
	var calls []*call
	for _, c := range l.queue {
		if c.deadline.IsZero() {
			continue
		}
		if l.number == 0 {
			l.lastFrameAt = time.Now()
		}
		l.number++
		c.Number, c.written = l.number, true
		l.pending[c.Number] = c
		calls = append(calls, c)
	}
	l.queue = l.queue[:0]
	return calls
}

// read handles replies until the connection ends.
func (l *Link) read(conn net.Conn) error {
	in := cbor.NewDecoder(bufio.NewReader(conn))
	known := reportCodec{}
	for {
		var r reply
		if err := in.Decode(&r); err != nil {
			return err
		}
		if err := l.handleReply(&r, known); err != nil {
			return err
		}
	}
}

var errBadReport = errors.New("report refers to a run or an end that the previous report does not contain")

// handleReply passes a reply to the call that waits for it, and updates the state of the
// link from it.
func (l *Link) handleReply(r *reply, known reportCodec) error {
	var got result
	got.err = r.err()
	got.answer.Clock = time.Duration(r.ClockMicros) * time.Microsecond
	if r.Report != nil {
		full, ok := known.restore(r)
		if !ok {
			return errBadReport
		}
		got.report = full
		got.report.Clock = got.answer.Clock
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return nil // end has already failed the pending calls
	}
	l.lastFrameAt = time.Now()
	if r.Number != 0 {
		l.answered, l.unanswered = true, 0
	}
	if r.Leaving {
		l.leaving = true
		l.log.Info("relay_leaving")
	}
	c := l.pending[r.Number]
	if c == nil {
		return nil
	}
	delete(l.pending, r.Number)
	if !r.fenced() {
		l.confirmTerm(c)
	}
	for _, t := range r.Tickets {
		if int(t.Place) < len(c.workerIDs) {
			got.tickets = append(got.tickets, advice.Ticket{Worker: c.workerIDs[t.Place], Text: t.Text})
		}
	}
	c.result <- got
	if r.Outcome == expired && time.Since(c.queuedAt) < overdueSlack {
		// The reply arrived before the request could have expired, so a clock was
		// stepped. A new link starts with a new baseline.
		go l.endWithoutBackoff("a clock was set")
	}
	return nil
}
