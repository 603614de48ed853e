package callers

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// writeTimeout bounds one write of at most 32 KiB to a slow caller.
const writeTimeout = 30 * time.Second

// Stream copies the rest of a long response to the caller as it arrives. An error means that the caller got it incompletely.
func Stream(w http.ResponseWriter, rest io.Reader) error {
	control := http.NewResponseController(w)
	buffer := make([]byte, 32<<10)
	for {
		n, err := rest.Read(buffer)
		if n > 0 {
			// Writers that do not support deadlines return an error, which does not matter.
			_ = control.SetWriteDeadline(time.Now().Add(writeTimeout))
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
