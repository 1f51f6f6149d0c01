package callerconn

import "syscall"

// receiveBufferBytes is the size of the receive buffer of a connection. The kernel's default grows with
// the traffic, to several megabytes for a connection.
const receiveBufferBytes = 32 << 10

// LimitReceiveBuffer limits the bytes that the kernel keeps for each connection of a listener. It is the
// Control function of a net.ListenConfig; accepted connections inherit the limit.
func LimitReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without this limit the connections still work.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
}
