package callers

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// connectionKey is the context key of a request's connection.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// Disconnected reports whether the caller has closed its connection. It peeks at the socket, because net/http detects a
// disconnect in a background goroutine that may run only after the request was forwarded. A caller that has pipelined further
// requests counts as connected.
func Disconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, ok := ctx.Value(connectionKey{}).(*pipeliningConn)
	if !ok {
		return false
	}
	socket, ok := conn.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	disconnected := false
	// An error means that the connection is already closed; net/http cancels the context soon.
	_ = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		disconnected = err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
	})
	return disconnected
}
