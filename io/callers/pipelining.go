package callers

import (
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxPipelinedBytes bounds the bytes of pipelined requests that are buffered while a request is served. Bytes beyond it
	// stay in the kernel's receive buffer; a disconnect behind them is noticed only when a write fails.
	maxPipelinedBytes = 64 << 10
	// lingerTime and lingerBytes bound the lingering close: what is read and discarded from a caller after the last response.
	// Closing a socket with unread bytes sends a TCP reset, which can make the caller's kernel drop the response.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 1 << 20
	// pipelinedReadBytes is the buffer size for reading pipelined requests.
	pipelinedReadBytes = 4 << 10
	// backgroundReadBytes is the size of the background read with which net/http detects a disconnect while it serves a request.
	backgroundReadBytes = 1
)

// pipeliningListener accepts connections on which callers may pipeline requests.
type pipeliningListener struct {
	net.Listener
	table *connectionTable
}

// Accept waits for the next connection that there is room for and wraps it in a pipeliningConn.
func (l pipeliningListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &pipeliningConn{Conn: conn, connectionState: connectionState{table: l.table}}
		c.since.Store(time.Now().UnixNano())
		if l.table.add(c) {
			return c, nil
		}
		// The caller gets no response, so that an error does not matter.
		_ = conn.Close()
	}
}

// pipeliningConn detects a disconnect also when the caller has pipelined further requests. While net/http serves a request, it
// reads one byte in the background to detect a disconnect, and stops as soon as a byte arrives. This connection buffers such
// bytes instead and keeps reading until the caller disconnects.
type pipeliningConn struct {
	net.Conn
	connectionState
	// mu guards the fields below, and serializes an eviction with the arrival of a request.
	mu sync.Mutex
	// buffered holds bytes of pipelined requests: at most maxPipelinedBytes plus one read of pipelinedReadBytes.
	buffered []byte
	// readErr is the read error that followed the buffered bytes; time-outs are not kept.
	readErr error
}

// Read returns buffered bytes first. A read of one byte is net/http's background read: it returns only with an error, or
// once maxPipelinedBytes are buffered.
func (c *pipeliningConn) Read(p []byte) (int, error) {
	if len(p) == backgroundReadBytes && c.canReadAhead() {
		return c.readAhead()
	}
	if c.mustClose() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := c.readBuffered(p)
	if n == 0 && err == nil {
		n, err = c.Conn.Read(p)
	}
	if !c.countHead(n) {
		return 0, os.ErrDeadlineExceeded
	}
	return n, err
}

// canReadAhead reports whether the buffer has room and the connection has not failed.
func (c *pipeliningConn) canReadAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.buffered) < maxPipelinedBytes && c.readErr == nil
}

// readBuffered moves buffered bytes to p. When the buffer is empty, it returns the read error that followed them, if any.
func (c *pipeliningConn) readBuffered(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.buffered) == 0 {
		return 0, c.readErr
	}
	n := copy(p, c.buffered)
	c.buffered = c.buffered[n:]
	return n, nil
}

// storeRead buffers the result of a read, and reports whether to continue reading.
func (c *pipeliningConn) storeRead(read []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.buffered = append(c.buffered, read...)
	if timeout := net.Error(nil); err != nil && (!errors.As(err, &timeout) || !timeout.Timeout()) {
		c.readErr = err
	}
	return err == nil && len(c.buffered) < maxPipelinedBytes && c.countPipelined(len(read))
}

// readAhead buffers pipelined requests until the caller disconnects, the buffer is full, or net/http aborts the read by setting
// a deadline. It returns no bytes, since later reads return the buffered bytes.
func (c *pipeliningConn) readAhead() (int, error) {
	// Read one byte first, so that callers that do not pipeline need no buffer of pipelinedReadBytes.
	var first [1]byte
	buffer := first[:]
	for {
		n, err := c.Conn.Read(buffer)
		if !c.storeRead(buffer[:n], err) {
			// With a nil error (the buffer is full), net/http stops watching for a disconnect.
			return 0, err
		}
		if len(buffer) == len(first) {
			buffer = make([]byte, pipelinedReadBytes)
		}
	}
}

// Close closes the connection. When pipelined requests are unanswered, it shuts down the write side and drains the read side
// first (a lingering close), so that the caller receives the last response completely.
func (c *pipeliningConn) Close() error {
	defer c.forget()
	c.mu.Lock()
	unread := len(c.buffered) > 0 && c.readErr == nil
	c.mu.Unlock()
	tcp, ok := c.Conn.(*net.TCPConn)
	if unread && ok && tcp.CloseWrite() == nil && tcp.SetReadDeadline(time.Now().Add(lingerTime)) == nil {
		// Ends when the caller closes the connection or at the read deadline.
		_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
	}
	return c.Conn.Close()
}
