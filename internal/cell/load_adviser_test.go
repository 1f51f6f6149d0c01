package cell

import (
	"github.com/cespare/xxhash/v2"

	"gentianstand/internal/advice"
	"gentianstand/internal/job"
)

// loadAdviser plays the placement adviser and the lanes to it.
type loadAdviser struct {
	// allowedPercent is the share of the workers that may run a stage; 0 is all.
	allowedPercent uint64
	// slots are the free ones.
	slots AdviceSlots
	// pending are the questions pending way.
	pending []loadQuestion
}

// ask begins a question.
func (l *load) ask(order AdviceOrder) {
	quick := l.adviser.slots.Quick
	l.adviser.slots.acquire(order.Slow)
	l.adviser.pending = append(l.adviser.pending, loadQuestion{
		order: order, quick: l.adviser.slots.Quick < quick, answerAt: l.now.Add(order.Cost.Duration(len(order.Workers))),
	})
}

// answerDue answers the questions that are due.
func (l *load) answerDue() {
	under := l.adviser.pending
	l.adviser.pending = nil
	for _, q := range under {
		if l.now.Before(q.answerAt) {
			l.adviser.pending = append(l.adviser.pending, q)
			continue
		}
		if q.quick {
			l.adviser.slots.Quick++
		} else {
			l.adviser.slots.Any++
		}
		l.cell.AdviceAnswered(q.order.Stage, q.order.Workers, l.adviser.ticketsFor(q.order.Stage, q.order.Workers), nil, l.now)
	}
}

// allows reports whether a worker may run a stage, always the same.
func (a *loadAdviser) allows(stage job.StageID, worker string) bool {
	return a.allowedPercent == 0 || xxhash.Sum64String(stage.String()+"|"+worker)%100 < a.allowedPercent
}

func (a *loadAdviser) ticketsFor(stage job.StageID, workers []string) []advice.Ticket {
	var tickets []advice.Ticket
	for _, id := range workers {
		if a.allows(stage, id) {
			tickets = append(tickets, advice.Ticket{Worker: id, Text: "ticket-" + id})
		}
	}
	return tickets
}
