package cellowner

import (
	"context"

	"gentianstand/internal/advice"
	"gentianstand/internal/cell"
)

// Advisers queries the placement adviser through any instance that has a free concurrency slot.
type Advisers interface {
	// Slots returns the number of calls that may start now.
	Slots() cell.AdviceSlots
	// Reserve accounts for the slot of an order before Ask is called, so that the next call of
	// Slots does not count the slot as free.
	Reserve(o cell.AdviceOrder)
	// Ask returns the tickets for the workers of an order.
	Ask(ctx context.Context, o cell.AdviceOrder) ([]advice.Ticket, error)
}
