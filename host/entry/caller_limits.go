package entry

import (
	"net/http"
	"strconv"
	"syscall"

	"vanillatally/core/memory"
	"vanillatally/io/callers"
	"vanillatally/io/events"
	"vanillatally/io/settings"
)

// assumedDescriptors is the limit of descriptors if the system does not state one.
const assumedDescriptors = 1024

// memoryBytes returns the memory that the process may use.
func (h *Host) memoryBytes() int64 {
	if h.settings.MemoryBytes == 0 {
		return int64(settings.DefaultEntryHost().MemoryBytes)
	}
	return int64(h.settings.MemoryBytes)
}

// maxCallerConnections returns the largest number of callers' connections.
func (h *Host) maxCallerConnections() int {
	if stated := h.settings.Limits.CallerConnections; stated > 0 {
		return int(stated)
	}
	limit := syscall.Rlimit{Cur: assumedDescriptors}
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		limit.Cur = assumedDescriptors
	}
	return memory.MaxConnections(h.memoryBytes(), limit.Cur)
}

// connectionClosed records that a connection of a caller was closed because of a limit.
func (h *Host) connectionClosed(reason string) {
	h.metrics.Count("connections-limited", "", "", "reason="+strconv.Quote(reason), 1)
	h.log.EmitRateLimited(events.ConnectionsLimited, reason, "reason", reason)
}

// The servers for readiness checks, look-ups and operators take these fractions of the connections, and of the bytes of heads, that
// the server for requests takes.
const (
	readinessDivisor = 20
	lookupDivisor    = 5
	operatorDivisor  = 20
	// minBoundedConnections leaves room for the platform and operators on small hosts.
	minBoundedConnections = 16
)

// newBoundedServer returns a server for the handler whose connections and heads are bounded: beyond the bounds, connections that wait
// for a request are closed.
func (h *Host) newBoundedServer(handler http.Handler, divisor int) *callers.Server {
	return callers.New(callers.Options{
		Requests: handler, MaxHeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout,
		Logger:         h.log.Logger(),
		MaxConnections: max(h.maxCallerConnections()/divisor, minBoundedConnections),
		MaxHeadBytes:   max(memory.MaxHeadBytes(h.memoryBytes())/int64(divisor), maxHeaderBytes),
		OnClosed:       h.connectionClosed,
	})
}
