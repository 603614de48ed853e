package callers

import (
	"context"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

func withConnection(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// Disconnected reports whether the caller closed its connection before its request was served. net/http looks for that in a goroutine
// of its own, which may run only after the request was passed on. A caller with requests ahead is taken to be there.
func Disconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	conn, ok := ctx.Value(connectionKey{}).(*aheadConn)
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
	left := false
	// An error means that the connection is closed already; the context says so soon.
	_ = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
	})
	return left
}
