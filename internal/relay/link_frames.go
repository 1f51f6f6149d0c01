package relay

import (
	"bufio"
	"errors"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentianstand/internal/advice"
)

// write encodes calls in the order in which they were made, several in one packet where
// they come together.
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

// takeQueue books the calls of the queue as pending, but for those that were given up.
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
		l.number++
		c.Number, c.written = l.number, true
		l.pending[c.Number] = c
		calls = append(calls, c)
	}
	l.queue = l.queue[:0]
	return calls
}

// read takes replies in until the connection ends.
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

var errBadReport = errors.New("a report names a run that the one before did not have")

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
		return nil // the calls have their results
	}
	l.lastFrameAt = time.Now()
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
		// The reply is here before the request can have been late: a clock was set. A
		// new link compares the clocks anew.
		go l.endWithoutBackoff("a clock was set")
	}
	return nil
}
