package cellowner

import (
	"context"

	"gentianstand/internal/advice"
	"gentianstand/internal/cell"
)

// Advisers asks the placement adviser, through whichever instance is free.
type Advisers interface {
	// Slots returns how many calls may begin now.
	Slots() cell.AdviceSlots
	// Reserve books the slot of an order before Ask, so that the next Slots does
	// not count it again.
	Reserve(o cell.AdviceOrder)
	// Ask returns the tickets for an order's workers.
	Ask(ctx context.Context, o cell.AdviceOrder) ([]advice.Ticket, error)
}
