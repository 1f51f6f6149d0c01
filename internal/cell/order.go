package cell

// Order is something the owner must carry out: a StartOrder, StopOrder,
// PaceOrder, AdviceOrder or LookOrder.
type Order interface{ isOrder() }
