package backends

import (
	"bufio"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// maxHeaderBytes bounds the status line and headers of a response, so that a faulty server cannot exhaust the memory.
const maxHeaderBytes = 64 << 10

// unreservedHeaderBytes is the length of the headers up to which no memory is reserved. It is the size of the read buffer.
const unreservedHeaderBytes = readBufferBytes

const (
	// tcpUserTimeoutOption is the Linux socket option TCP_USER_TIMEOUT, which package syscall does not define.
	tcpUserTimeoutOption = 18
	// tcpUserTimeoutMS is the time after which the kernel closes a connection whose sent bytes are not acknowledged. It stays
	// below the 2 s within which a connection that no longer responds must be detected.
	tcpUserTimeoutMS = 1900
)

// The sizes of a connection's buffers.
const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
)

var (
	errHeaderTooLong   = errors.New("response headers are longer than 64 KiB")
	errHeaderUnbounded = errors.New("there is no memory for response headers longer than 4 KiB")
	readerPool         = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
	writerPool         = sync.Pool{New: func() any { return bufio.NewWriterSize(nil, writeBufferBytes) }}
)

// connection is one TCP connection to a backend server. It serves one request at a time (no pipelining).
type connection struct {
	netConn net.Conn
	rawConn syscall.RawConn
	pool    *Pool
	// sent is the number of bytes of the current request that were written to the socket.
	sent int64
	// requestCut is set if the current request could not be sent whole because a write failed.
	requestCut bool
	// headerBytesLeft is the number of bytes that may still be read while reading headers; -1 means no limit.
	headerBytesLeft int
	// reserve asks for memory for the current response, see Request.Reserve. headerReserved is set once it granted long headers.
	reserve        func(n int) bool
	headerReserved bool
	// deadline ends the current exchange; inactivityTimeout limits the time without a byte sent or received. Zero values mean
	// no limit.
	deadline          time.Time
	inactivityTimeout time.Duration
	// lastVerified is the time of the last complete response, lastUsed the time of the last request other than a ping.
	lastVerified, lastUsed time.Time
	// expiresAt is the time after which the connection is not reused, because the server's keep-alive timeout may close it;
	// zero means never.
	expiresAt time.Time
	// br and bw are nil while the connection is idle, which saves 8 KiB per idle connection.
	br *bufio.Reader
	bw *bufio.Writer
	// recentIDs holds the IDs of the last requests, whose responses may arrive twice; duplicateSeen is set once one did.
	recentIDs     recentIDs
	duplicateSeen bool
	// exchangeGuard is set when another goroutine may abort the current exchange.
	exchangeGuard *exchangeGuard
	// probeByte is the read buffer of alive.
	probeByte [1]byte
}

// maxRecentIDs is the number of requests of a connection whose responses are recognized when they arrive again.
const maxRecentIDs = 8

// recentIDs holds the IDs of the last maxRecentIDs requests of a connection. Requests without an ID are left out.
type recentIDs struct {
	ids  [maxRecentIDs]string
	next int
}

func (r *recentIDs) add(id string) {
	if id != "" {
		r.ids[r.next] = id
		r.next = (r.next + 1) % maxRecentIDs
	}
}

func (r *recentIDs) contains(id string) bool { return id != "" && slices.Contains(r.ids[:], id) }

func newConnection(netConn net.Conn, pool *Pool) (*connection, error) {
	c := &connection{netConn: netConn, pool: pool, headerBytesLeft: -1}
	tcp, ok := netConn.(syscall.Conn)
	if !ok {
		return c, nil
	}
	sys, err := tcp.SyscallConn()
	if err != nil {
		return c, errors.Wrap(err, "get the file descriptor of the connection")
	}
	c.rawConn = sys
	return c, sys.Control(func(fd uintptr) {
		// If the option cannot be set, the inactivity timeout still detects bytes that are not acknowledged.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, tcpUserTimeoutMS)
	})
}

// startExchange prepares the connection for a request.
func (c *connection) startExchange(r *Request) {
	c.sent, c.requestCut, c.headerBytesLeft, c.exchangeGuard = 0, false, -1, nil
	c.deadline, c.inactivityTimeout, c.reserve, c.headerReserved = r.Deadline, r.InactivityTimeout, r.reserve, false
	if c.br == nil {
		c.br = readerPool.Get().(*bufio.Reader)
		c.br.Reset(c)
		c.bw = writerPool.Get().(*bufio.Writer)
		c.bw.Reset(c)
	}
}

// releaseBuffers returns the buffers to their pools, and drops the last request.
func (c *connection) releaseBuffers() {
	c.reserve = nil
	if c.br == nil {
		return
	}
	c.br.Reset(nil)
	c.bw.Reset(nil)
	readerPool.Put(c.br)
	writerPool.Put(c.bw)
	c.br, c.bw = nil, nil
}

// progressDeadline returns the deadline of an I/O operation that starts now: after limit, but not after the deadline of the
// exchange.
func (c *connection) progressDeadline(limit time.Duration) time.Time {
	t := time.Now().Add(limit)
	if !c.deadline.IsZero() && c.deadline.Before(t) {
		return c.deadline
	}
	return t
}

// Write sends bytes of a request and counts those that were written to the socket.
func (c *connection) Write(p []byte) (int, error) {
	if c.inactivityTimeout > 0 {
		if err := c.netConn.SetWriteDeadline(c.progressDeadline(c.inactivityTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := c.netConn.Write(p)
	c.sent += int64(n)
	return n, err
}

// Read receives bytes of a response and enforces the limit on the length of the headers.
func (c *connection) Read(p []byte) (int, error) {
	if c.headerBytesLeft == 0 {
		return 0, errHeaderTooLong
	}
	if c.headerBytesLeft > 0 && c.headerBytesLeft <= maxHeaderBytes-unreservedHeaderBytes && !c.reserveHeader() {
		return 0, errHeaderUnbounded
	}
	if c.headerBytesLeft > 0 && len(p) > c.headerBytesLeft {
		p = p[:c.headerBytesLeft]
	}
	n, err := c.netConn.Read(p)
	if c.headerBytesLeft > 0 {
		c.headerBytesLeft -= n
	}
	return n, err
}

// reserveHeader reserves the memory for headers of maxHeaderBytes, once for each exchange.
func (c *connection) reserveHeader() bool {
	c.headerReserved = c.headerReserved || c.reserve(maxHeaderBytes-unreservedHeaderBytes)
	return c.headerReserved
}

// alive reports whether an idle connection is open and has no byte to read. A byte that arrives on an idle connection
// belongs to no request: it is a late or duplicate response.
func (c *connection) alive() bool {
	if c.rawConn == nil {
		return true
	}
	open := false
	err := c.rawConn.Read(func(fd uintptr) bool {
		// The descriptor is non-blocking. Consuming a byte does no harm, since the connection is retired then.
		_, err := syscall.Read(int(fd), c.probeByte[:])
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}

// keepAliveMargin is the fraction of a server's keep-alive timeout that is left unused, so that no request is sent while the
// server is closing the connection.
const keepAliveMargin = 0.25

// setExpiry sets expiresAt from the parameter "timeout=SECONDS" of a Keep-Alive header.
func (c *connection) setExpiry(header string, now time.Time) {
	for parameter := range strings.SplitSeq(header, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(parameter), "=")
		seconds, err := strconv.Atoi(value)
		if !strings.EqualFold(name, "timeout") || err != nil || seconds < 0 {
			continue
		}
		idle := time.Duration(seconds) * time.Second
		c.expiresAt = now.Add(idle - time.Duration(float64(idle)*keepAliveMargin))
	}
}

// expired reports whether the server's keep-alive timeout may be closing the connection.
func (c *connection) expired(now time.Time) bool {
	return !c.expiresAt.IsZero() && now.After(c.expiresAt)
}
