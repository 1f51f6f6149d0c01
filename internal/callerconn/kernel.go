package callerconn

import (
	"fmt"
	"net"
	"syscall"
)

const (
	// acceptQueue is the number of connections that the kernel accepts before the process does. What they
	// send is kept meanwhile, by default for thousands of them. Beyond it, callers connect again after a
	// second.
	acceptQueue = 128
	// receiveBufferBytes is the size of the receive buffer of a connection, which the kernel doubles. Its
	// default grows with the traffic, to several megabytes.
	receiveBufferBytes = 16 << 10
)

// LimitAcceptQueue limits the connections of a listener that wait to be accepted.
func LimitAcceptQueue(l net.Listener) error {
	return control(l, func(fd int) error { return syscall.Listen(fd, acceptQueue) })
}

// LimitReceiveBuffer limits the bytes that the kernel keeps for each connection of a listener.
func LimitReceiveBuffer(l net.Listener) error {
	return control(l, func(fd int) error {
		return syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
	})
}

// control calls f with the descriptor of a listener.
func control(l net.Listener, f func(fd int) error) error {
	raw, ok := l.(syscall.Conn)
	if !ok {
		return fmt.Errorf("listener %s has no descriptor", l.Addr())
	}
	conn, err := raw.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	if err := conn.Control(func(fd uintptr) { failed = f(int(fd)) }); err != nil {
		return err
	}
	return failed
}
