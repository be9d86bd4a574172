package rattanfront

import (
	"context"
	"net"
	"syscall"

	"github.com/juju/errors"
)

// connectionKey is the context key of a caller's connection.
type connectionKey struct{}

// WithConnection returns the context for the requests on a caller's connection.
func WithConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, connection)
}

// callerLeft reports whether the caller of a request has closed its connection.
// The server ends the context of the request later: after a pause of the
// instance, it reads requests first whose callers have sent them elsewhere.
func callerLeft(ctx context.Context) bool {
	connection, ok := ctx.Value(connectionKey{}).(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := connection.SyscallConn()
	if err != nil {
		return errors.Is(err, net.ErrClosed)
	}
	left := false
	err = raw.Control(func(descriptor uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(descriptor), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = (n == 0 && err == nil) || errors.Is(err, syscall.ECONNRESET)
	})
	return left || errors.Is(err, net.ErrClosed)
}
