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
	// Term increases by 1 with every owner.
	Term uint64 `cbor:"4,keyasint"`
	// Released is true if the holder gave up the cell.
	Released bool `cbor:"5,keyasint,omitempty"`
	// Returned is true if the previous process of the holder owned the cell, too.
	Returned bool `cbor:"6,keyasint,omitempty"`
	// PredecessorMayAct is true if a previous owner may have been alive when the claim was made.
	PredecessorMayAct bool `cbor:"7,keyasint,omitempty"`
	// ShortOwnerships counts the consecutive owners, up to this one, that replaced an owner that
	// was unresponsive after a short ownership; see suspicion.
	ShortOwnerships uint32 `cbor:"8,keyasint,omitempty"`
	// version is the row's version, 0 if there is no row.
	version uint64
}

func decodeClaim(row store.Row) (claim, error) {
	c := claim{version: row.Version}
	if row.Version == 0 {
		return c, nil
	}
	if err := cbor.Unmarshal(row.Value, &c); err != nil {
		return c, fmt.Errorf("decode claim in partition %q: %w", row.Partition, err)
	}
	return c, nil
}

// message returns the claim in the form that is sent to other instances. PredecessorMayAct is
// left out, because it matters only in a takeover, which reads the row.
func (c *claim) message() *cellpb.Claim {
	return &cellpb.Claim{Holder: c.Holder, Address: c.Address, Incarnation: c.Incarnation, Term: c.Term,
		Released: c.Released, Returned: c.Returned, Version: c.version, Hurried: c.ShortOwnerships}
}

func claimFrom(m *cellpb.Claim) claim {
	return claim{Holder: m.Holder, Address: m.Address, Incarnation: m.Incarnation, Term: m.Term,
		Released: m.Released, Returned: m.Returned, version: m.Version, ShortOwnerships: m.Hurried}
}
