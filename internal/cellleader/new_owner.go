package cellleader

import (
	"gentianstand/internal/cellowner"
	"gentianstand/internal/store"
)

// NewOwner creates the owner for a term. All writes of the owner check the row of the claim.
type NewOwner func(term uint64, previous PreviousOwner, claim store.Check, l cellowner.Leadership) *cellowner.Owner
