package relay

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"gentianstand/internal/compressed"
)

// The relay must restore exactly the specs that the owner omitted, whatever specs are sent.
func TestLeftOutSpecsAreThoseThatWereSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		owner := newSpecSlots()
		var relay [specSlotCount]compressed.Text
		for range rapid.IntRange(1, 600).Draw(t, "starts") {
			spec := compressed.Text(fmt.Sprint("spec-", rapid.IntRange(0, 2*specSlotCount).Draw(t, "spec")))
			slot, known := owner.place(spec)
			if !known {
				relay[slot] = spec
			}
			if relay[slot] != spec {
				t.Fatalf("slot %d has %s, want %s", slot, relay[slot], spec)
			}
		}
		if len(owner.bySpec) > specSlotCount {
			t.Fatalf("%d specs are remembered", len(owner.bySpec))
		}
	})
}
