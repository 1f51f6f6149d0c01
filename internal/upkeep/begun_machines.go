package upkeep

import (
	"fmt"
	"strconv"

	"github.com/fxamacker/cbor/v2"
)

// Table has one row per wave, which lists the machines whose maintenance has begun.
const Table = "upkeep"

// Key returns the row key of a wave.
func Key(wave uint64) string { return strconv.FormatUint(wave, 10) }

// EncodeBegunMachines encodes the machines of a wave whose maintenance has begun.
func EncodeBegunMachines(machines []string) ([]byte, error) {
	data, err := cbor.Marshal(machines)
	if err != nil {
		return nil, fmt.Errorf("machines of a wave: %w", err)
	}
	return data, nil
}

// DecodeBegunMachines decodes what EncodeBegunMachines wrote.
func DecodeBegunMachines(data []byte) ([]string, error) {
	var machines []string
	if err := cbor.Unmarshal(data, &machines); err != nil {
		return nil, fmt.Errorf("machines of a wave: %w", err)
	}
	return machines, nil
}
