package relay

import "gentianstand/internal/compressed"

// specSlotCount is how many specs both ends of a link remember. A spec has up to 4 KB and
// is needed while its job has tasks to start; a link carries some dozens of jobs at the
// same time.
const specSlotCount = 128

// specSlots remembers which specs were sent on a link. Without it, the specs of jobs with
// many tasks would make up most of an owner's traffic, because every start carries one. It
// is not safe for concurrent use.
type specSlots struct {
	bySpec map[compressed.Text]uint32
	specs  [specSlotCount]compressed.Text
	next   uint32
}

func newSpecSlots() *specSlots { return &specSlots{bySpec: map[compressed.Text]uint32{}} }

// place returns the slot of a spec; known reports that the spec was already in it. A new
// spec replaces the oldest.
func (s *specSlots) place(spec compressed.Text) (slot uint32, known bool) {
	if slot, known = s.bySpec[spec]; known {
		return slot, true
	}
	slot = s.next
	s.next = (s.next + 1) % specSlotCount
	delete(s.bySpec, s.specs[slot])
	s.specs[slot] = spec
	s.bySpec[spec] = slot
	return slot, false
}
