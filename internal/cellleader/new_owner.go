package cellleader

import (
	"gentianstand/internal/cellowner"
	"gentianstand/internal/store"
)

// NewOwner creates the owner for a term. previousStopped is true if the previous owner sends no
// more orders. All writes of the owner check the row of the claim.
type NewOwner func(term uint64, previousStopped bool, claim store.Check, l cellowner.Leadership) *cellowner.Owner
