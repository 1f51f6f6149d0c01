package cell

// commitRoom is the room left in a transaction.
type commitRoom struct {
	entries int
	bytes   int
	// items is the number of jobs that may be added.
	items int
}

const (
	// entryOverhead is an upper bound for the size of an entry in a transaction without its value.
	entryOverhead = 200
	// unlimited is the room of a limit that is not set.
	unlimited = 1 << 40
)

// newRoom returns the room of an empty transaction.
func (c *Cell) newRoom(items int) commitRoom {
	r := commitRoom{entries: c.settings.MaxCommitEntries, bytes: c.settings.MaxCommitBytes, items: items}
	if r.entries == 0 {
		r.entries = unlimited
	}
	if r.bytes == 0 {
		r.bytes = unlimited
	}
	return r
}

// entryBytes returns the size in a transaction of a value, which is encoded as base64.
func entryBytes(value int) int { return entryOverhead + (value+2)/3*4 }

// fits reports whether an entry with a value of the given size fits.
func (r *commitRoom) fits(entries, value int) bool {
	return entries <= r.entries && entryBytes(value) <= r.bytes
}

// take reduces the room by entries that have a value of the given size together.
func (r *commitRoom) take(entries, value int) {
	r.entries -= entries
	r.bytes -= entryBytes(value)
}
