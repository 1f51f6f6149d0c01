package cellleader

import (
	"gentianstand/internal/cellowner"
	"gentianstand/internal/store"
)

// NewOwner makes an owner for a term. earlierStopped says that the earlier owner
// gives no orders any more. The row of the claim is checked by all writes.
type NewOwner func(term uint64, earlierStopped bool, claim store.Check, l cellowner.Leadership) *cellowner.Owner
