package node

import (
	"testing"

	"github.com/fxamacker/cbor/v2"

	"gentianstand/internal/cellpeer"
	"gentianstand/internal/store"
)

// instanceRow returns the directory row of an instance.
func instanceRow(t *testing.T, name, address string) store.Row {
	t.Helper()
	value, err := cbor.Marshal(cellpeer.Instance{Name: name, Address: address})
	if err != nil {
		t.Fatal(err)
	}
	return store.Row{Key: name, Value: value, Version: 1}
}
