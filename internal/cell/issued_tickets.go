package cell

import "time"

// issuedTickets are the tickets of one answer of the adviser, until they expire.
type issuedTickets struct {
	stage     *stage
	workers   []*worker
	expiresAt time.Time
}

// countIssued counts the tickets of an answer. They are checked again when they have expired.
func (c *Cell) countIssued(s *stage, workers []*worker, expiresAt, now time.Time) {
	if len(workers) == 0 {
		return
	}
	c.stats.TicketsGot += uint64(len(workers))
	issued := issuedTickets{s, workers, expiresAt}
	c.issued = append(c.issued, issued)
	s.advice.dropExpired(now)
	s.advice.live = append(s.advice.live, issued)
}

// countExpired counts the tickets that have expired without a start. Queues differ little in how
// long their tickets are valid, so that an answer that is not the first in line is counted a
// little late at most.
func (c *Cell) countExpired(now time.Time) {
	n := 0
	for n < len(c.issued) && !now.Before(c.issued[n].expiresAt) {
		c.issued[n].markUnused(&c.stats)
		n++
	}
	c.issued = c.issued[n:]
}

// countReplaced counts a ticket that is renewed before it started a task.
func (c *Cell) countReplaced(v verdict) {
	if v.approved && !v.used && !v.expiresAt.IsZero() && !v.counted {
		c.stats.TicketsExpired++
	}
}

// markUnused counts those of the tickets that have started no task and were not renewed since.
func (i *issuedTickets) markUnused(stats *Stats) {
	for _, w := range i.workers {
		v := i.stage.advice.verdicts[w]
		if !v.expiresAt.Equal(i.expiresAt) || v.used {
			continue
		}
		stats.TicketsExpired++
		v.counted = true
		i.stage.advice.verdicts[w] = v
	}
}

// useTicket counts the start of a task with a ticket. A ticket is valid for several starts.
func (c *Cell) useTicket(s *stage, w *worker) {
	if s.job.record.Advice == nil {
		return
	}
	c.stats.TicketStarts++
	v := s.advice.verdicts[w]
	if !v.used {
		v.used = true
		s.advice.verdicts[w] = v
		c.stats.TicketsUsed++
	}
}
