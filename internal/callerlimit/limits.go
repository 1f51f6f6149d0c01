package callerlimit

// Limits bound what an instance holds for its callers.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// BodyBytes is the memory for request bodies, including their decoded forms.
	BodyBytes int64
	// Requests is the number of requests in progress whose body, if any, has been received.
	Requests int
}

const (
	// fileDescriptors is the number of descriptors that are not available for sockets.
	fileDescriptors = 200
	// connectionBytes is the memory of one connection: its goroutine, its buffers, and bytes that it
	// has received and not read.
	connectionBytes = 48 << 10
	// memoryPerBodyByte and memoryPerConnectionByte divide the memory of the machine. The rest is for
	// the jobs of the cell's owner, for garbage that is not collected yet, and for the program itself.
	memoryPerBodyByte       = 8
	memoryPerConnectionByte = 4
	// socketsPerConnection divides the sockets: half of them are for workers, the store and other
	// instances, a quarter for callers, and a quarter for the calls to the store that callers' requests
	// make.
	socketsPerConnection = 4
	// socketsPerRequest is higher by the number of calls to the store that a request may have
	// outstanding.
	socketsPerRequest = 3 * socketsPerConnection
)

// LimitsFor returns the limits on a machine.
func LimitsFor(m Machine) Limits {
	m = m.withDefaults()
	sockets := max(0, m.Descriptors-fileDescriptors)
	byMemory := int(m.MemoryBytes / memoryPerConnectionByte / connectionBytes)
	return Limits{
		Connections: max(1, min(sockets/socketsPerConnection, byMemory)),
		BodyBytes:   m.MemoryBytes / memoryPerBodyByte,
		Requests:    max(1, sockets/socketsPerRequest),
	}
}
