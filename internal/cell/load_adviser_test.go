package cell

import (
	"github.com/cespare/xxhash/v2"

	"gentianstand/internal/advice"
	"gentianstand/internal/job"
)

// loadAdviser plays the placement adviser and the lanes to it.
type loadAdviser struct {
	// goodPercent is the share of the workers that may run a stage; 0 is all.
	goodPercent uint64
	// lanes are the free ones.
	lanes AdviceSlots
	// under are the questions under way.
	under []loadQuestion
}

// ask begins a question.
func (l *load) ask(order AdviceOrder) {
	quick := l.adviser.lanes.Quick
	l.adviser.lanes.acquire(order.Slow)
	l.adviser.under = append(l.adviser.under, loadQuestion{
		order: order, quick: l.adviser.lanes.Quick < quick, answerAt: l.now.Add(order.Cost.Duration(len(order.Workers))),
	})
}

// adviseDue answers the questions that are due.
func (l *load) adviseDue() {
	under := l.adviser.under
	l.adviser.under = nil
	for _, q := range under {
		if l.now.Before(q.answerAt) {
			l.adviser.under = append(l.adviser.under, q)
			continue
		}
		if q.quick {
			l.adviser.lanes.Quick++
		} else {
			l.adviser.lanes.Any++
		}
		l.cell.AdviceAnswered(q.order.Stage, q.order.Workers, l.adviser.ticketsFor(q.order.Stage, q.order.Workers), nil, l.now)
	}
}

// allows reports whether a worker may run a stage, always the same.
func (a *loadAdviser) allows(stage job.StageID, worker string) bool {
	return a.goodPercent == 0 || xxhash.Sum64String(stage.String()+"|"+worker)%100 < a.goodPercent
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
