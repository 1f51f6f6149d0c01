package cellleader

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"gentianstand/internal/cellpeer/cellpb"
	"gentianstand/internal/store"
)

const (
	tableCells = "cells"
	claimKey   = "owner"
)

// claim is the row that names a cell's owner.
type claim struct {
	Holder      string `cbor:"1,keyasint"`
	Address     string `cbor:"2,keyasint"`
	Incarnation string `cbor:"3,keyasint"`
	// Term rises by one with every owner.
	Term uint64 `cbor:"4,keyasint"`
	// Released says that the holder gave the cell up.
	Released bool `cbor:"5,keyasint,omitempty"`
	// Returned says that the holder's process before this one held the cell, too.
	Returned bool `cbor:"6,keyasint,omitempty"`
	// Doubtful says that an owner before this one may have been alive when the claim
	// was made.
	Doubtful bool `cbor:"7,keyasint,omitempty"`
	// Hurried is how many owners in a row, up to this one, followed one that was silent
	// after a short ownership; see silence.
	Hurried uint32 `cbor:"8,keyasint,omitempty"`
	// version is the row's version, 0 if there is no row.
	version uint64
}

func decodeClaim(row store.Row) (claim, error) {
	c := claim{version: row.Version}
	if row.Version == 0 {
		return c, nil
	}
	if err := cbor.Unmarshal(row.Value, &c); err != nil {
		return c, fmt.Errorf("claim of %s: %w", row.Partition, err)
	}
	return c, nil
}

// message returns the claim as other instances are told of it. Doubtful is left out:
// it counts in a take-over, which reads the row.
func (c *claim) message() *cellpb.Claim {
	return &cellpb.Claim{Holder: c.Holder, Address: c.Address, Incarnation: c.Incarnation, Term: c.Term,
		Released: c.Released, Returned: c.Returned, Version: c.version, Hurried: c.Hurried}
}

func claimFrom(m *cellpb.Claim) claim {
	return claim{Holder: m.Holder, Address: m.Address, Incarnation: m.Incarnation, Term: m.Term,
		Released: m.Released, Returned: m.Returned, version: m.Version, Hurried: m.Hurried}
}
