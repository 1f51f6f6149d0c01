package cell

// Order is something the owner must carry out: a StartOrder, StopOrder,
// PaceOrder or AdviceOrder.
type Order interface{ isOrder() }
