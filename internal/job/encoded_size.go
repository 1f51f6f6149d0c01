package job

// EncodedSize returns the size of the encoded progress. It is computed without encoding, because it is
// needed under the lock of the cell.
func (p *Progress) EncodedSize() int {
	size := versionBytes + headerBytes + textField(len(p.Final)) + numberField(uint64(p.EndedAtMillis))
	size += numbersField(len(p.DoneOccurrences), func(i int) uint64 { return uint64(p.DoneOccurrences[i]) })
	if p.Split {
		size += keyBytes + headerBytes
	}
	if len(p.Stages) > 0 {
		size += keyBytes + numberBytes(uint64(len(p.Stages)))
	}
	for i := range p.Stages {
		size += p.Stages[i].encodedSize()
	}
	return size
}

const (
	// versionBytes is the size of the version before the encoded value.
	versionBytes = 1
	// headerBytes is the size of the header of a map with few fields, and of a boolean.
	headerBytes = 1
	// keyBytes is the size of the key of a field.
	keyBytes = 1
)

func (p *StageProgress) encodedSize() int {
	size := headerBytes + numberField(uint64(p.Occurrence)) + numberField(uint64(p.Step)) + textField(len(p.Done))
	if len(p.Tasks) > 0 {
		size += keyBytes + numberBytes(uint64(len(p.Tasks)))
	}
	for i := range p.Tasks {
		size += p.Tasks[i].encodedSize()
	}
	return size
}

func (p *TaskProgress) encodedSize() int {
	return headerBytes + numberField(uint64(p.Index)) + runsField(p.FailedRuns) + numberField(p.LastRun) + textField(len(p.Checkpoint)) +
		runsField(p.CrashedRuns) + runsField(p.LostRuns) + numberField(uint64(p.CrashedAtStart)) + numberField(uint64(p.CrashedLater)) +
		numberField(uint64(p.LostAtMillis))
}

// numberBytes returns the size of a number, or of the header of a text or list of that length.
func numberBytes(n uint64) int {
	switch {
	case n < 24:
		return 1
	case n < 1<<8:
		return 2
	case n < 1<<16:
		return 3
	case n < 1<<32:
		return 5
	}
	return 9
}

// numberField returns the size of a field with a number, which is left out if it is 0.
func numberField(n uint64) int {
	if n == 0 {
		return 0
	}
	return keyBytes + numberBytes(n)
}

// textField returns the size of a field with a text or bytes of some length, which is left out if it is 0.
func textField(length int) int {
	if length == 0 {
		return 0
	}
	return keyBytes + numberBytes(uint64(length)) + length
}

func runsField(runs []uint64) int {
	return numbersField(len(runs), func(i int) uint64 { return runs[i] })
}

// numbersField returns the size of a field with a list of numbers, which is left out if it is empty.
func numbersField(count int, at func(int) uint64) int {
	if count == 0 {
		return 0
	}
	size := keyBytes + numberBytes(uint64(count))
	for i := range count {
		size += numberBytes(at(i))
	}
	return size
}
