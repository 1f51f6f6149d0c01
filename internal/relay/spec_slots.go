package relay

import "gentianstand/internal/packed"

// specSlotCount is how many specs both ends of a link remember. A spec has up to 4 KB and is
// needed for as long as its job has tasks to start; a link sees some dozens of jobs at
// the same time.
const specSlotCount = 128

// specSlots remembers which specs were sent on a link: those of jobs with many tasks would
// be most of an owner's bytes if they went with every start. It is not safe for concurrent
// use.
type specSlots struct {
	bySpec map[packed.Text]uint32
	specs  [specSlotCount]packed.Text
	next   uint32
}

func newSpecSlots() *specSlots { return &specSlots{bySpec: map[packed.Text]uint32{}} }

// place returns the slot of a spec; known says that it was there before. A new one takes
// the place of the oldest.
func (s *specSlots) place(spec packed.Text) (slot uint32, known bool) {
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
