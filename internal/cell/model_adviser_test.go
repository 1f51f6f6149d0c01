package cell

import (
	"errors"
	"strconv"
	"time"

	"gentianstand/internal/advice"
	"gentianstand/internal/runner"
)

// modelAdviserSlots is the number of slow calls to the adviser that an owner may have pending.
const modelAdviserSlots = 3

var errAdviserFailed = errors.New("the adviser failed")

// modelAdviser allows all workers, after the estimated duration of a call.
type modelAdviser struct{ calls []modelAdviserCall }

type modelAdviserCall struct {
	owner *modelOwner
	order AdviceOrder
	dueAt time.Time
	fails bool
}

// slots returns the adviser's free slots for an owner.
func (a *modelAdviser) slots(o *modelOwner) AdviceSlots {
	if a == nil {
		return AdviceSlots{}
	}
	free := modelAdviserSlots
	for _, call := range a.calls {
		if call.owner == o {
			free--
		}
	}
	return AdviceSlots{Any: free}
}

// answerDue answers the calls that are due at a time.
func (a *modelAdviser) answerDue(now time.Time) {
	var pending []modelAdviserCall
	for _, call := range a.calls {
		if now.Before(call.dueAt) {
			pending = append(pending, call)
			continue
		}
		tickets, err := call.tickets(now)
		call.owner.cell.AdviceAnswered(call.order.Stage, call.order.Workers, tickets, err, now)
	}
	a.calls = pending
}

func (call modelAdviserCall) tickets(now time.Time) ([]advice.Ticket, error) {
	if call.fails {
		return nil, errAdviserFailed
	}
	var tickets []advice.Ticket
	expiry := now.Add(call.order.Cost.TicketTTL).UnixMilli()
	for _, id := range call.order.Workers {
		tickets = append(tickets, advice.Ticket{Worker: id, Text: strconv.FormatInt(expiry, 10)})
	}
	return tickets, nil
}

// ticketExpired reports whether the ticket of a start, if it has one, has expired.
func (w *modelWorker) ticketExpired(s runner.Start) bool {
	if s.Ticket == "" {
		return false
	}
	expiry, err := strconv.ParseInt(s.Ticket, 10, 64)
	return err != nil || w.model.now.UnixMilli() >= expiry
}
