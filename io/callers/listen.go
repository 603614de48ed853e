package callers

import (
	"net"
	"net/http"

	"github.com/cockroachdb/errors"
)

// Listen opens a TCP listener at each address. When one fails, the others are closed.
func Listen(addresses ...string) (listeners []net.Listener, err error) {
	for _, address := range addresses {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, opened := range listeners {
				_ = opened.Close()
			}
			return nil, err
		}
		listeners = append(listeners, listener)
	}
	return listeners, nil
}

// Serve serves connections of listener until the server is shut down, which is no error.
func Serve(server *http.Server, listener net.Listener) error {
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
