package celljobs

import (
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"gentianstand/internal/cell"
)

// EncodeWorkers encodes a chunk of the known workers.
func EncodeWorkers(workers []cell.KnownWorker) ([]byte, error) {
	data, err := cbor.Marshal(workers)
	if err != nil {
		return nil, fmt.Errorf("encode known workers: %w", err)
	}
	return data, nil
}

// DecodeWorkers decodes a chunk that EncodeWorkers encoded.
func DecodeWorkers(data []byte) ([]cell.KnownWorker, error) {
	var workers []cell.KnownWorker
	if err := cbor.Unmarshal(data, &workers); err != nil {
		return nil, fmt.Errorf("decode known workers: %w", err)
	}
	return workers, nil
}
