package cell

// Order is an action for the owner to carry out: a StartOrder, StopOrder, ThrottleOrder,
// AdviceOrder or PollOrder.
type Order interface{ isOrder() }
