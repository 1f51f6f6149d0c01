package cell

import (
	"errors"
	"fmt"
	"slices"
	"sort"

	"pgregory.net/rapid"

	"gentianstand/internal/runner"
)

// neverDelivered is the fate of an order that is lost.
const neverDelivered = 6

// plan delivers the orders of a planning pass. With faults some get no answer, and some arrive late
// or never.
func (m *model) plan(o *modelOwner, faults bool) {
	m.configure(o)
	orders := o.cell.Plan(m.now, m.adviser.slots(o))
	sort.Slice(orders, func(a, b int) bool { return fmt.Sprint(orders[a]) < fmt.Sprint(orders[b]) })
	for _, order := range orders {
		m.rt.Logf("%v term %d: %T %v", m.now.Sub(siteStart), o.cell.settings.Term, order, order)
		fate := 0
		if faults {
			fate = rapid.IntRange(0, 6).Draw(m.rt, "delivery")
		}
		if m.losesOrders(order) {
			fate = neverDelivered
		}
		switch order := order.(type) {
		case AdviceOrder:
			m.adviser.calls = append(m.adviser.calls, modelAdviserCall{owner: o, order: order,
				dueAt: m.now.Add(order.Cost.Duration(len(order.Workers))), fails: fate > 4})
		case StartOrder:
			m.deliver(fate, order.Worker, func(w *modelWorker) error { return w.start(order.Start) },
				func(err error) { o.cell.StartAnswered(order, runner.Answer{}, m.retryOutcome(err), m.now) })
		case StopOrder:
			m.deliver(fate, order.Worker, func(w *modelWorker) error { return w.stop(order.Stop) },
				func(err error) { o.cell.StopAnswered(order, runner.Answer{}, err, m.now) })
		}
	}
}

// retryOutcome returns the outcome of a start after one more attempt if the first one got no
// answer. The worker may refuse the second attempt and still run the first one, before or after it.
func (m *model) retryOutcome(err error) error {
	if errors.Is(err, runner.ErrNoAnswer) && rapid.Bool().Draw(m.rt, "retry refused") {
		return &runner.Refusal{Reason: runner.Unhealthy, Repeated: true}
	}
	return err
}

func (m *model) deliver(fate int, to runner.Target, act func(*modelWorker) error, answer func(error)) {
	for _, w := range m.workers {
		if w.roster.ID != to.ID {
			continue
		}
		if w.roster.Incarnation != to.Incarnation {
			answer(runner.ErrIncarnationGone)
			continue
		}
		if w.repliesLost && fate < 4 {
			fate = 4
		}
		switch fate {
		case 4: // delivered, without an answer
			_ = act(w) // the answer is lost
			answer(runner.ErrNoAnswer)
		case 5: // delivered late, without an answer
			m.lateOrders = append(m.lateOrders, func() { _ = act(w) }) // the answer is lost
			m.noteLateOrder()
			answer(runner.ErrNoAnswer)
		case neverDelivered:
			answer(runner.ErrNoAnswer)
		default:
			answer(act(w))
		}
	}
}

// losesOrders reports whether the worker of a start or stop receives no orders.
func (m *model) losesOrders(order Order) bool {
	var to string
	switch order := order.(type) {
	case StartOrder:
		to = order.Worker.ID
	case StopOrder:
		to = order.Worker.ID
	}
	return slices.ContainsFunc(m.workers, func(w *modelWorker) bool { return w.ordersLost && w.roster.ID == to })
}
