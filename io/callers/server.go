package callers

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Options configures a Server. Zero durations and sizes take the defaults of withDefaults.
type Options struct {
	// Requests handles everything but look-ups.
	Requests http.Handler
	// Lookup handles GET /v1/lookup; nil leaves that path to Requests.
	Lookup http.Handler
	// MaxHeaderBytes bounds the request line and headers of one request.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time for reading the headers of a request.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the time between two requests on a connection.
	IdleTimeout time.Duration
	// UnreadBodyTimeout bounds the time for the rest of a body that the handler has not read. net/http reads up to 256 KiB of it
	// before it sends the response; beyond this time it sends the response and closes the connection.
	UnreadBodyTimeout time.Duration
	// BaseContext is the parent of the contexts of all requests; nil is context.Background.
	BaseContext context.Context
	// DrainNotice is the lame-duck period: a stopping server still accepts requests and answers with "Connection: close", so
	// that no idle connection is closed while a caller sends a new request on it.
	DrainNotice time.Duration
	// MaxConnections bounds the open connections, and MaxHeadBytes the sum of the bytes by which the heads of requests exceed
	// 4 KiB each; 0 sets no bound. Beyond them connections that wait for a request are closed, and OnClosed is called.
	MaxConnections int
	MaxHeadBytes   int64
	OnClosed       func(reason string)
	Logger         *slog.Logger
}

func (o Options) withDefaults() Options {
	if o.MaxHeaderBytes == 0 {
		o.MaxHeaderBytes = 32 << 10
	}
	if o.HeaderTimeout == 0 {
		o.HeaderTimeout = 5 * time.Second
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = 90 * time.Second
	}
	if o.UnreadBodyTimeout == 0 {
		o.UnreadBodyTimeout = 2 * time.Second
	}
	if o.DrainNotice == 0 {
		o.DrainNotice = time.Second
	}
	if o.BaseContext == nil {
		o.BaseContext = context.Background()
	}
	if o.OnClosed == nil {
		o.OnClosed = func(string) {}
	}
	return o
}

// Server is the HTTP server for callers.
type Server struct {
	options  Options
	http     *http.Server
	listener net.Listener
	draining atomic.Bool
	group    errgroup.Group
	done     chan struct{}
	table    *connectionTable
	// stopping ends the checks of the table.
	stopping chan struct{}
}

// New returns a server that does not listen yet.
func New(options Options) *Server {
	s := &Server{options: options.withDefaults(), done: make(chan struct{}), stopping: make(chan struct{})}
	s.table = newConnectionTable(s.options)
	s.http = &http.Server{
		Handler:           s,
		MaxHeaderBytes:    s.options.MaxHeaderBytes,
		ReadHeaderTimeout: s.options.HeaderTimeout,
		IdleTimeout:       s.options.IdleTimeout,
		BaseContext:       func(net.Listener) context.Context { return s.options.BaseContext },
		ConnContext:       withConnection,
		ConnState: func(conn net.Conn, state http.ConnState) {
			if c, ok := conn.(*pipeliningConn); ok {
				c.setPhase(state)
			}
		},
	}
	if s.options.Logger != nil {
		s.http.ErrorLog = slog.NewLogLogger(s.options.Logger.Handler(), slog.LevelWarn)
	}
	return s
}

// Start serves connections of listener until Shutdown.
func (s *Server) Start(listener net.Listener) {
	s.listener = listener
	s.group.Go(func() error {
		s.table.run(s.stopping)
		return nil
	})
	s.group.Go(func() error {
		defer close(s.done)
		defer close(s.stopping)
		err := s.http.Serve(pipeliningListener{listener, s.table})
		if !errors.Is(err, net.ErrClosed) && !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve callers")
		}
		return nil
	})
}

// ServeHTTP dispatches look-ups and requests to their handlers.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.ContentLength != 0 {
		// A writer that does not support deadlines returns an error, which does not matter.
		defer func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(s.options.UnreadBodyTimeout)) }()
	}
	if s.options.Lookup != nil && r.URL.Path == "/v1/lookup" {
		s.options.Lookup.ServeHTTP(w, r)
		return
	}
	s.options.Requests.ServeHTTP(w, r)
}

// Connections returns the number of open connections.
func (s *Server) Connections() int { return s.table.count() }

// Done is closed when the server has stopped listening.
func (s *Server) Done() <-chan struct{} { return s.done }

// Shutdown drains the server: it answers with "Connection: close" for DrainNotice, then stops listening and waits within ctx
// until all requests in flight have ended. http.Server.Shutdown would close idle connections also while a request is being read
// from them.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "shut down the server for callers") }()
	s.draining.Store(true)
	notice := time.NewTimer(s.options.DrainNotice)
	defer notice.Stop()
	select {
	case <-notice.C:
	case <-ctx.Done():
	}
	if err := s.listener.Close(); err != nil {
		return err
	}
	<-s.done
	s.table.closeWaiting()
	select {
	case <-s.table.empty:
	case <-ctx.Done():
		return ctx.Err()
	}
	return s.group.Wait()
}

// Close stops the server at once and closes all connections.
func (s *Server) Close() (err error) {
	defer func() { err = errors.Wrap(err, "close the server for callers") }()
	return errors.CombineErrors(s.http.Close(), s.group.Wait())
}
