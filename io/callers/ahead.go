package callers

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxAhead bounds the bytes of further requests that are read while a request is served. What a caller sends beyond stays in
	// the kernel, and its leaving is noticed only by a failed write.
	maxAhead = 64 << 10
	// lingerTime and lingerBytes bound what is read from a caller after the last answer. Closing a connection with unread
	// bytes resets it, which may destroy the answer on its way.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
	// aheadRead is the size of one read ahead.
	aheadRead = 4 << 10
	// noticeRead is the size of the reads with which net/http waits for the caller's leaving while it serves a request.
	noticeRead = 1
)

// aheadListener accepts connections whose callers may send requests before the last one was answered.
type aheadListener struct{ net.Listener }

// Accept waits for the next connection.
func (l aheadListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &aheadConn{Conn: conn}, nil
}

// aheadConn notices that its caller has left while bytes of further requests lie unread. net/http reads one byte while it
// serves a request, and takes a byte that arrives for the end of its watch; this connection keeps such bytes and reads on.
type aheadConn struct {
	net.Conn
	mu sync.Mutex
	// ahead holds bytes of further requests, at most maxAhead and one read.
	ahead []byte
	// failed is the error that followed these bytes.
	failed error
}

// Read returns the bytes that were read ahead, or the next ones. A read of one byte returns only with an error, or when
// maxAhead bytes lie ahead.
func (c *aheadConn) Read(p []byte) (int, error) {
	if len(p) == noticeRead && c.mayWatch() {
		return c.watch()
	}
	if n, err := c.take(p); n > 0 || err != nil {
		return n, err
	}
	return c.Conn.Read(p)
}

// mayWatch reports whether more may be read ahead.
func (c *aheadConn) mayWatch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ahead) < maxAhead && c.failed == nil
}

// take moves bytes that were read ahead to p. Without any it returns the error that followed them.
func (c *aheadConn) take(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) == 0 {
		return 0, c.failed
	}
	n := copy(p, c.ahead)
	c.ahead = c.ahead[n:]
	return n, nil
}

// keep takes in the outcome of a read ahead, and reports whether to read on.
func (c *aheadConn) keep(read []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead = append(c.ahead, read...)
	if timeout := net.Error(nil); err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()) {
		c.failed = err
	}
	return err == nil && len(c.ahead) < maxAhead
}

// watch reads ahead until the caller leaves or the read is ended by its deadline.
func (c *aheadConn) watch() (int, error) {
	// A connection without requests ahead needs no buffer for them.
	var first [1]byte
	buffer := first[:]
	for {
		n, err := c.Conn.Read(buffer)
		if !c.keep(buffer[:n], err) {
			// Without an error, net/http ends its watch.
			return 0, err
		}
		if len(buffer) == len(first) {
			buffer = make([]byte, aheadRead)
		}
	}
}

// Close closes the connection; bytes that lie ahead are followed by reading the rest first, so that the caller gets the last
// answer whole.
func (c *aheadConn) Close() error {
	c.mu.Lock()
	unread := len(c.ahead) > 0 && c.failed == nil
	c.mu.Unlock()
	tcp, ok := c.Conn.(*net.TCPConn)
	if unread && ok && tcp.CloseWrite() == nil && tcp.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		// The caller's end or the deadline ends this.
		_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
	}
	return c.Conn.Close()
}
