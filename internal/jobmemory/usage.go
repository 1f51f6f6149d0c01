package jobmemory

const (
	// memoryPerJobByte divides the memory of the owner's machine. The rest is for callers, for the jobs
	// that have ended a short time ago, for garbage that is not collected yet, and for the program itself.
	memoryPerJobByte = 4
	// roomPerJobByte divides the free memory: a job that takes more than this part of it is rejected. So
	// small jobs are accepted beside any number of large ones that do not end.
	roomPerJobByte = 4
	// instancesAtStart divides the limit among the instances that do not know yet what the owner holds.
	instancesAtStart = 16
)

// LimitFor returns how many bytes the jobs that have not ended may take at an owner on a machine with the
// given memory, or 0, which is no limit, if the memory is not known.
func LimitFor(machineBytes int64) int64 { return machineBytes / memoryPerJobByte }

// StartLimitFor returns how many bytes of jobs an instance on a machine with the given memory may accept
// before it knows what the owner holds, or 0, which is no limit, if the memory is not known.
func StartLimitFor(machineBytes int64) int64 { return LimitFor(machineBytes) / instancesAtStart }

// Usage is what the jobs that have not ended take at the owner.
type Usage struct {
	Bytes int64
	// Limit is the limit of the owner, or 0 if it has none.
	Limit int64
}

// Fits reports whether there is room for another n bytes. A job is always accepted while there is no
// other.
func (u Usage) Fits(n int64) bool {
	return u.Limit == 0 || u.Bytes == 0 || n <= (u.Limit-u.Bytes)/roomPerJobByte
}

// Plus returns the usage with n bytes in addition.
func (u Usage) Plus(n int64) Usage {
	u.Bytes += n
	return u
}
