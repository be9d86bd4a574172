package rattanlimit

import (
	"context"
	"net"
	"syscall"

	"github.com/juju/errors"
)

// Buffers of a caller's connection in the kernel. The kernel sets aside twice the
// requested size for its own structures, holds up to half as much again of received
// data as requested, and up to twice as much of sent data. With a receive buffer of this
// size, a body of 262,144 bytes arrives within 32 round trips.
const (
	receiveBufferBytes = 8 << 10
	sendBufferBytes    = 4 << 10
	// receivedBytes and sentBytes bound what a connection holds in the kernel.
	receivedBytes = receiveBufferBytes * 3 / 2
	sentBytes     = sendBufferBytes * 2
)

// Listen opens a listener whose connections have bounded buffers from their first byte
// on, and at most backlog of which wait to be accepted. A bound that is set on an accepted
// connection comes too late for what it has received before.
func Listen(address string, backlog int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error { return control(socket, boundBuffers) }}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if err := boundBacklog(listener, backlog); err != nil {
		_ = listener.Close()
		return nil, err
	}
	return listener, nil
}

// boundBuffers bounds the buffers of a socket. Connections inherit them from the socket
// that listens.
func boundBuffers(descriptor int) error {
	if err := syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes); err != nil {
		return errors.Annotate(err, "receive buffer")
	}
	return errors.Annotate(syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBufferBytes), "send buffer")
}

// boundBacklog changes the backlog of a listener, which is that of the system otherwise.
func boundBacklog(listener net.Listener, backlog int) error {
	socket, err := listener.(syscall.Conn).SyscallConn()
	if err != nil {
		return errors.Trace(err)
	}
	return control(socket, func(descriptor int) error {
		return errors.Annotate(syscall.Listen(descriptor, backlog), "backlog")
	})
}

// control calls a function with the descriptor of a socket.
func control(socket syscall.RawConn, use func(descriptor int) error) error {
	var result error
	if err := socket.Control(func(descriptor uintptr) { result = use(int(descriptor)) }); err != nil {
		return errors.Trace(err)
	}
	return result
}
