package slack

// Order ranks the classes of workers for a stage. The zero value has no preference.
type Order struct{ ranks [classes]int8 }

// lateRank is the lowest rank of a class on which the stage has no slack.
const lateRank = classes

// Order returns the order in which a stage prefers the classes: first the classes on which it
// has slack, slowest first, then the others, fastest first.
func (f *Fleet) Order(w Work) Order {
	var o Order
	if !f.Differs() {
		return o
	}
	for c := Class(-maxClass); c <= maxClass; c++ {
		if w.HasSlack(f.Factor(c)) {
			o.ranks[c.index()] = int8(maxClass - c)
		} else {
			o.ranks[c.index()] = int8(lateRank + c.index())
		}
	}
	return o
}

// Rank returns the rank of a class; lower is better.
func (o *Order) Rank(c Class) int { return int(o.ranks[c.index()]) }

// MayBeLate reports whether the stage has no slack on workers of a class.
func (o *Order) MayBeLate(c Class) bool { return o.ranks[c.index()] >= lateRank }

// Compare returns a negative number if the stage prefers class a to class b, and 0 if it does
// not matter.
func (o *Order) Compare(a, b Class) int { return o.Rank(a) - o.Rank(b) }
