package workorder

// Order is a list of criteria, the most important first.
type Order []Criterion

// Usual is the order in use. docs/design/preemption-and-order.md compares it with others.
var Usual = Order{ByPriority, ByShare, LateLast, StartedFirst, UrgentSmallestFirst, LateShortestFirst, ByLatestStart, ByJob}

// Compare compares two items: below 0, a comes first.
func (o Order) Compare(a, b *Item) int {
	for _, criterion := range o {
		if n := criterion(a, b); n != 0 {
			return n
		}
	}
	return 0
}
