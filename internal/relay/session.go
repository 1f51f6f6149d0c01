package relay

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"gentianstand/internal/compressed"
	"gentianstand/internal/runner"
)

var (
	errUnknownWorker = errors.New("request refers to an unknown worker")
	errUnknownSlot   = errors.New("request refers to an unknown spec slot")
)

// session is a relay's end of one link.
type session struct {
	conn   net.Conn
	server *Server
	wake   chan struct{}
	// readsRepeatedEnds is set if the owner restores repeated ends.
	readsRepeatedEnds bool

	// workers, ids, specs, delays and the counters are used by the reading goroutine only.
	workers           map[uint32]runner.Target
	ids               []string
	specs             [specSlotCount]compressed.Text
	delays            delayTracker
	requests, overdue int

	mu sync.Mutex
	// replies are the replies that are not written yet.
	replies []outgoing
}

// outgoing is a reply to write, with the full report if there is one.
type outgoing struct {
	reply
	worker uint32
	report *runner.Report
}

func newSession(conn net.Conn, s *Server) *session {
	return &session{conn: conn, server: s, wake: make(chan struct{}, 1), workers: map[uint32]runner.Target{}}
}

// run carries out requests until the connection ends or the owner is silent.
func (s *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	defer cancel()
	in := cbor.NewDecoder(bufio.NewReader(s.conn))
	for {
		if err := s.conn.SetReadDeadline(time.Now().Add(ownerSilentAfter)); err != nil {
			return err
		}
		var r request
		if err := in.Decode(&r); err != nil {
			return err
		}
		if s.requests == 0 {
			// The owner does not read frames before its first request.
			goroutines.Go(func() { s.write(ctx) })
		}
		s.requests++
		w, err := s.resolve(&r)
		if err != nil {
			return err
		}
		if refusal := s.refusal(&r, time.Now()); refusal != nil {
			s.enqueue(outgoing{reply: *refusal})
			continue
		}
		if r.Advice != nil {
			ids := s.idsOf(r.Advice)
			goroutines.Go(func() { s.enqueue(s.askAdviser(ctx, &r, ids)) })
			continue
		}
		goroutines.Go(func() { s.enqueue(s.execute(ctx, w, &r)) })
	}
}

// resolve restores the fields that the owner omitted, and returns the request's worker.
func (s *session) resolve(r *request) (runner.Target, error) {
	if r.Target != nil {
		s.workers[r.Worker] = runner.Target{ID: r.Target.ID, Incarnation: runner.Incarnation(r.IncarnationMillis), Address: r.Target.Address}
	}
	if r.Start != nil {
		if r.Start.Slot >= specSlotCount {
			return runner.Target{}, errUnknownSlot
		}
		if r.Start.Known {
			r.Start.Spec = s.specs[r.Start.Slot]
		}
		s.specs[r.Start.Slot] = r.Start.Spec
	}
	if r.Advice != nil {
		s.ids = append(s.ids, r.Advice.NewIDs...)
		for _, place := range r.Advice.Workers {
			if int(place) >= len(s.ids) {
				return runner.Target{}, errUnknownWorker
			}
		}
		return runner.Target{}, nil
	}
	w, known := s.workers[r.Worker]
	if !known {
		return w, errUnknownWorker
	}
	return w, nil
}

// refusal returns the reply to a request that must not be carried out, or nil.
func (s *session) refusal(r *request, now time.Time) *reply {
	limit := time.Duration(r.TimeoutMillis)*time.Millisecond + overdueSlack
	if s.delays.excess(time.UnixMilli(r.SentMillis), now.Round(0)) > limit {
		s.overdue++
		return &reply{Number: r.Number, Outcome: expired}
	}
	if !s.server.admits(r.token()) {
		return &reply{Number: r.Number, Outcome: refused, Reason: string(runner.Fenced)}
	}
	return nil
}

// idsOf returns the worker ids of an adviser request.
func (s *session) idsOf(a *adviceRequest) []string {
	ids := make([]string, len(a.Workers))
	for i, place := range a.Workers {
		ids[i] = s.ids[place]
	}
	return ids
}

// askAdviser makes a call to the placement adviser.
func (s *session) askAdviser(ctx context.Context, r *request, ids []string) outgoing {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.TimeoutMillis)*time.Millisecond)
	defer cancel()
	d := outgoing{reply: reply{Number: r.Number}}
	tickets, err := s.server.adviser.Ask(ctx, r.Advice.Stage, ids)
	if err != nil {
		d.Outcome, d.Detail = unanswered, err.Error()
		return d
	}
	places := make(map[string]uint32, len(ids))
	for i, id := range ids {
		places[id] = uint32(i)
	}
	for _, t := range tickets {
		if place, asked := places[t.Worker]; asked {
			d.Tickets = append(d.Tickets, ticket{Place: place, Text: t.Text})
		}
	}
	return d
}

// execute makes a call to a worker.
func (s *session) execute(ctx context.Context, w runner.Target, r *request) outgoing {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(r.TimeoutMillis)*time.Millisecond)
	defer cancel()
	d := outgoing{reply: reply{Number: r.Number}, worker: r.Worker}
	var answer runner.Answer
	var err error
	client := s.server.workers
	switch {
	case r.Poll != nil:
		var full runner.Report
		if full, err = client.Poll(ctx, w, r.runnerPoll()); err == nil {
			d.report = &full
			answer.Clock = full.Clock
		}
	case r.Start != nil:
		answer, err = client.Start(ctx, w, r.Start.toRunner())
	case r.Stop != nil:
		answer, err = client.Stop(ctx, w, runner.Stop{Task: r.Stop.Task, Run: r.Stop.Run, Token: r.Stop.Token})
	case r.Throttle != nil:
		answer, err = client.Throttle(ctx, w, runner.Throttle{Task: r.Throttle.Task, Run: r.Throttle.Run, Token: r.Throttle.Token, Percent: r.Throttle.Percent})
	}
	d.ClockMicros = answer.Clock.Microseconds()
	if err != nil {
		reason := runner.RefusalReason("")
		d.Outcome, reason = outcomeOf(err)
		d.Reason = string(reason)
		d.Detail = err.Error()
	}
	return d
}

// enqueue queues a reply for writing.
func (s *session) enqueue(d outgoing) {
	s.mu.Lock()
	s.replies = append(s.replies, d)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// leave announces to the owner that this instance is about to stop.
func (s *session) leave() { s.enqueue(outgoing{reply: reply{Leaving: true}}) }

// write sends replies as they become available, and a heartbeat after heartbeatPeriod
// without one.
func (s *session) write(ctx context.Context) {
	defer s.conn.Close()
	out := bufio.NewWriter(s.conn)
	encoder := cbor.NewEncoder(out)
	known := reportCodec{}
	timer := time.NewTimer(heartbeatPeriod)
	defer timer.Stop()
	for {
		var batch []outgoing
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			time.Sleep(coalesceDelay)
			batch = s.takeReplies()
		case <-timer.C:
			batch = []outgoing{{}}
		}
		if s.send(out, encoder, known, batch) != nil {
			return // the closed connection ends the reader, too
		}
		timer.Reset(heartbeatPeriod)
	}
}

// takeReplies returns the queued replies and clears the queue.
func (s *session) takeReplies() []outgoing {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := s.replies
	s.replies = nil
	return batch
}

// send writes a batch of replies, in one packet if they fit.
func (s *session) send(out *bufio.Writer, encoder *cbor.Encoder, known reportCodec, batch []outgoing) error {
	for _, d := range batch {
		if d.report != nil {
			s.shorten(&d, known)
		}
		if err := encoder.Encode(&d.reply); err != nil {
			return err
		}
	}
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return out.Flush()
}

// shorten stores the short form of a report that the owner can read in its reply.
func (s *session) shorten(d *outgoing, known reportCodec) {
	if s.readsRepeatedEnds {
		known.shortenRepeated(&d.reply, d.worker, *d.report)
		return
	}
	known.shorten(&d.reply, d.worker, *d.report)
}
