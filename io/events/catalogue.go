// Package events writes numbered log events and keeps the log of decisions that operators can query.
package events

import "log/slog"

// Event is one kind of log event.
type Event struct {
	// Number is unique and never reused.
	Number  int
	Level   slog.Level
	Message string
	// Meaning tells operators what happened and what to do.
	Meaning string
}

// The events. Numbers are grouped by hundreds: 100 process, 200 configuration, 300 membership and ledger,
// 400 budgets, 500 requests, 600 moves, 700 platform and store.
var (
	HostStarting       = Event{100, slog.LevelInfo, "host is starting", "The settings were accepted and the host begins to listen."}
	HostReady          = Event{101, slog.LevelInfo, "host is ready", "The host has a configuration and serves callers."}
	HostDraining       = Event{102, slog.LevelInfo, "host is draining", "A planned stop began; requests in flight finish, look-ups no longer name the host."}
	HostStopped        = Event{103, slog.LevelInfo, "host stopped", "All requests in flight finished and all parts stopped."}
	DrainTimedOut      = Event{104, slog.LevelWarn, "drain timed out with requests in flight", "Requests ran longer than drain-timeout and were cut. Raise the limit or look for slow backend servers."}
	PartFailed         = Event{105, slog.LevelError, "a part of the host failed", "The host stops. The error names the part."}
	ConfigApplied      = Event{200, slog.LevelInfo, "configuration is in force", "A newer configuration took effect on this host."}
	ConfigChanged      = Event{201, slog.LevelInfo, "operator changed the configuration", "A change was written to the store through this host; the outcome says whether every host confirmed it."}
	ConfigInvalid      = Event{202, slog.LevelError, "configuration in the store is invalid", "The value was ignored and the configuration in force stays. Somebody wrote the object without an operator command."}
	ConfigStale        = Event{203, slog.LevelWarn, "configuration may be stale", "No statement of freshness for 3 s. Keyed requests are refused until the host hears a relay again."}
	MemberChanged      = Event{300, slog.LevelInfo, "member changed its state", "A host was found alive, suspected, dead or leaving."}
	LedgerChanged      = Event{301, slog.LevelInfo, "ledger reached a new epoch", "Slots moved between hosts."}
	LeaseLapsed        = Event{302, slog.LevelWarn, "lease lapsed", "No witness renewed this host's lease. It admits nothing from its own slots until it has rejoined."}
	PeerRejected       = Event{303, slog.LevelWarn, "peer connection was rejected", "A connection failed the hello; check the shared secret and the addresses."}
	LedgerNotLeft      = Event{304, slog.LevelWarn, "host stopped without leaving the ledger", "The store was down, or no host took the slots over in time. The others fence the host; its share of every rate is missing until then."}
	RequestRefused     = Event{500, slog.LevelDebug, "request was refused", "The reason and whether the request ran are given."}
	RequestQuarantined = Event{501, slog.LevelError, "request is quarantined", "A request crashed two backend servers and is refused everywhere for a bounded time. Ask the team for the request."}
	MoveStep           = Event{600, slog.LevelInfo, "move made a step", "The driver recorded a new share."}
	MoveReverted       = Event{601, slog.LevelWarn, "move was taken back", "The evidence or the deadline took the move back; the reason is given."}
	MoveDone           = Event{602, slog.LevelInfo, "move is done", "The whole share moved."}
	PlatformFailed     = Event{701, slog.LevelWarn, "platform list could not be read", "The last list stays in use."}
)

// Catalogue lists every event in the order of its number.
var Catalogue = []Event{
	HostStarting, HostReady, HostDraining, HostStopped, DrainTimedOut, PartFailed,
	ConfigApplied, ConfigChanged, ConfigInvalid, ConfigStale,
	MemberChanged, LedgerChanged, LeaseLapsed, PeerRejected, LedgerNotLeft,
	RequestRefused, RequestQuarantined,
	MoveStep, MoveReverted, MoveDone,
	PlatformFailed,
}
