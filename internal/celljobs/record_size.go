package celljobs

import (
	"fmt"

	"gentianstand/internal/job"
	"gentianstand/internal/store"
)

// CheckSize returns an error if a record exceeds a row of the store. Names, labels and lists of
// dependencies have no bounds of their own.
func CheckSize(r *job.Record) error {
	value, err := job.EncodeRecord(r)
	if err != nil {
		return err
	}
	if len(value) > store.DefaultRowBytes {
		return fmt.Errorf("spec and steps: %d bytes as stored; at most %d", len(value), store.DefaultRowBytes)
	}
	return nil
}
