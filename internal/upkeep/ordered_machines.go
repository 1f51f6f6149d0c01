package upkeep

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// OrderedMachines is stored beside the machines that have begun, in a row of its own, because an
// earlier version of the program reads those as a plain list.
type OrderedMachines struct {
	// Machines lists the machines whose maintenance may have been ordered and is not confirmed. A
	// machine is stored here before its first order is sent.
	Machines []string `cbor:"1,keyasint,omitempty"`
}

// OrderedKey returns the row key of the machines of a wave that may have been ordered.
func OrderedKey(wave uint64) string { return Key(wave) + "/ordered" }

// Encode returns the stored form.
func (o OrderedMachines) Encode() ([]byte, error) {
	data, err := cbor.Marshal(o)
	if err != nil {
		return nil, fmt.Errorf("ordered machines of a wave: %w", err)
	}
	return data, nil
}

// DecodeOrderedMachines decodes what OrderedMachines.Encode returned.
func DecodeOrderedMachines(data []byte) (OrderedMachines, error) {
	var o OrderedMachines
	if err := cbor.Unmarshal(data, &o); err != nil {
		return o, fmt.Errorf("ordered machines of a wave: %w", err)
	}
	return o, nil
}
