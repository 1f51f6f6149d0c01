package cellowner

import (
	"strconv"

	"github.com/sirupsen/logrus"

	"gentianstand/internal/cell"
)

// addAdvice adds what the counts of adviser calls grew by since the last summary.
func (m *Metrics) addAdvice(now, last *cell.Stats) {
	m.AdviceCalls.AddInt64(int64(now.AdviceCalls - last.AdviceCalls))
	m.TicketsGot.AddInt64(int64(now.TicketsGot - last.TicketsGot))
	m.TicketsUsed.AddInt64(int64(now.TicketsUsed - last.TicketsUsed))
	m.TicketsExpired.AddInt64(int64(now.TicketsExpired - last.TicketsExpired))
	m.TicketsRefused.AddInt64(int64(now.TicketsRefused - last.TicketsRefused))
	m.TicketStarts.AddInt64(int64(now.TicketStarts - last.TicketStarts))
	m.IdleCoreSeconds.Add(now.IdleCoreSeconds - last.IdleCoreSeconds)
}

// adviceFields returns the counts of tickets for the log. starts_per_call is the mean since the last
// summary.
func adviceFields(now, last *cell.Stats) logrus.Fields {
	calls := now.AdviceCalls - last.AdviceCalls
	perCall := float64(now.TicketStarts-last.TicketStarts) / float64(max(1, calls))
	return logrus.Fields{"tickets_got": now.TicketsGot, "tickets_used": now.TicketsUsed, "tickets_expired": now.TicketsExpired,
		"tickets_refused": now.TicketsRefused, "ticket_starts": now.TicketStarts, "starts_per_call": strconv.FormatFloat(perCall, 'f', 1, 64),
		"idle_core_s": int64(now.IdleCoreSeconds)}
}
