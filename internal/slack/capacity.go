package slack

// Capacity holds an amount of processor time, in thousandths of a core, for each class.
type Capacity struct{ milliCPU [classes]int64 }

// Add adds an amount to a class.
func (a *Capacity) Add(c Class, milliCPU int64) { a.milliCPU[c.index()] += milliCPU }

// Of returns the amount of a class.
func (a *Capacity) Of(c Class) int64 { return a.milliCPU[c.index()] }
