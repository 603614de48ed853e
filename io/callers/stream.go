package callers

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// WriteTimeout bounds one write of at most StreamChunkBytes to a slow caller.
	WriteTimeout = 30 * time.Second
	// StreamChunkBytes is the size of the buffer with which a long response is streamed.
	StreamChunkBytes = 32 << 10
)

// Stream copies the rest of a long response to the caller as it arrives. An error means that the caller got it incompletely.
// extend is called before each write; it sets the write deadline, or returns an error that ends the response. With nil, each
// write gets WriteTimeout.
func Stream(w http.ResponseWriter, rest io.Reader, extend func() error) error {
	control := http.NewResponseController(w)
	if extend == nil {
		extend = func() error {
			// Writers that do not support deadlines return an error, which does not matter.
			_ = control.SetWriteDeadline(time.Now().Add(WriteTimeout))
			return nil
		}
	}
	buffer := make([]byte, StreamChunkBytes)
	for {
		n, err := rest.Read(buffer)
		if n > 0 {
			if err := extend(); err != nil {
				return err
			}
			if _, err := w.Write(buffer[:n]); err != nil {
				return err
			}
		}
		if errors.Is(err, io.EOF) {
			return control.SetWriteDeadline(time.Time{})
		}
		if err != nil {
			return err
		}
	}
}
