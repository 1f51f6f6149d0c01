package cell

import "gentianstand/internal/advice"

// loadAdviser plays the placement adviser and the lanes to it. It allows all workers.
type loadAdviser struct {
	// lanes are the free ones.
	lanes AdviceSlots
	// under are the questions under way.
	under []loadQuestion
}

// ask begins a question.
func (l *load) ask(order AdviceOrder) {
	quick := l.adviser.lanes.Quick
	l.adviser.lanes.take(order.Slow)
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
		l.cell.Advised(q.order.Stage, q.order.Workers, ticketsFor(q.order.Workers), nil, l.now)
	}
}

func ticketsFor(workers []string) []advice.Ticket {
	tickets := make([]advice.Ticket, len(workers))
	for i, id := range workers {
		tickets[i] = advice.Ticket{Worker: id, Text: "ticket-" + id}
	}
	return tickets
}
