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
	HostStarting         = Event{100, slog.LevelInfo, "host is starting", "The settings were accepted and the host begins to listen."}
	HostReady            = Event{101, slog.LevelInfo, "host is ready", "The host has a configuration and serves callers."}
	HostDraining         = Event{102, slog.LevelInfo, "host is draining", "A planned stop began; requests in flight finish, look-ups no longer name the host."}
	HostStopped          = Event{103, slog.LevelInfo, "host stopped", "All requests in flight finished and all parts stopped."}
	DrainTimedOut        = Event{104, slog.LevelWarn, "drain timed out with requests in flight", "Requests ran longer than drain-timeout and were cut. Raise the limit or look for slow backend servers."}
	ComponentFailed      = Event{105, slog.LevelError, "a part of the host failed", "The host stops. The error names the part."}
	ConfigApplied        = Event{200, slog.LevelInfo, "configuration is in force", "A newer configuration took effect on this host."}
	ConfigChanged        = Event{201, slog.LevelInfo, "operator changed the configuration", "A change was written to the store through this host; the outcome says whether every host confirmed it."}
	ConfigInvalid        = Event{202, slog.LevelError, "configuration in the store is invalid", "The value was ignored and the configuration in force stays. Somebody wrote the object without an operator command."}
	ConfigStale          = Event{203, slog.LevelWarn, "configuration may be stale", "No statement of freshness for 3 s. Keyed requests are refused until the host hears a relay again."}
	MemberChanged        = Event{300, slog.LevelInfo, "member changed its state", "A host was found alive, suspected, dead or leaving."}
	LedgerChanged        = Event{301, slog.LevelInfo, "ledger reached a new epoch", "Slots moved between hosts."}
	LeaseExpired         = Event{302, slog.LevelWarn, "lease lapsed", "No witness renewed this host's lease. It admits nothing from its own slots until it has rejoined."}
	PeerRejected         = Event{303, slog.LevelWarn, "peer connection was rejected", "A connection failed the hello; check the shared secret and the addresses."}
	LedgerLeaveFailed    = Event{304, slog.LevelWarn, "host stopped without leaving the ledger", "The store was down, or no host took the slots over in time. The others fence the host; its share of every rate is missing until then."}
	PeerStateChanged     = Event{305, slog.LevelInfo, "another host was heard from", "A host is new, was started again or changed its state."}
	PeerSendFailed       = Event{306, slog.LevelWarn, "other hosts could not be told", "A message to the other hosts could not be sent; the error says why. The next one follows within a second."}
	RequestRefused       = Event{500, slog.LevelInfo, "request was refused", "The reason and whether the request ran are given. Look up the reason in docs/OPERATIONS.md."}
	RequestQuarantined   = Event{501, slog.LevelError, "request is quarantined", "A request crashed two backend servers and is refused everywhere for a bounded time. Ask the team for the request."}
	RequestServed        = Event{502, slog.LevelDebug, "request was served", "The backend server's answer was passed on."}
	LinesOmitted         = Event{503, slog.LevelInfo, "log lines were left out", "More lines of one event and reason came in a second than the log takes; the count says how many. Metrics count them all."}
	MoveStep             = Event{600, slog.LevelInfo, "move made a step", "The driver recorded a new share."}
	MoveReverted         = Event{601, slog.LevelWarn, "move was taken back", "The evidence or the deadline took the move back; the reason is given."}
	MoveFinished         = Event{602, slog.LevelInfo, "move is done", "The whole share moved."}
	MoveRecordFailed     = Event{603, slog.LevelWarn, "phase of a move could not be recorded", "The store did not take the phase; it is tried again within a second."}
	StoreUnavailable     = Event{702, slog.LevelWarn, "store does not answer", "The configuration and the list of backend servers in force stay in use until the store is back."}
	StoreRecovered       = Event{703, slog.LevelInfo, "store answers again", "Backend servers whose entries lapsed in the outage are kept for two seconds."}
	StoreObjectInvalid   = Event{704, slog.LevelWarn, "entry of the store cannot be used", "The entry was left out; the others hold. Somebody else wrote it, or it was cut short."}
	ServerAdded          = Event{705, slog.LevelInfo, "backend server was listed", "A backend server is new or was started again."}
	ServerLeaving        = Event{706, slog.LevelInfo, "backend server is leaving", "It gets no new requests."}
	ServerRemoved        = Event{707, slog.LevelInfo, "backend server left the list", "It gets no new requests."}
	DomainEvacuated      = Event{708, slog.LevelInfo, "failure domain is evacuated", "Its backend servers get no new requests until it is taken back."}
	DomainRestored       = Event{709, slog.LevelInfo, "failure domain was taken back", "Its backend servers count as cold at first."}
	ServerUnreachable    = Event{710, slog.LevelWarn, "backend server cannot be reached", "It gets no requests until a probe is answered."}
	ServerReachable      = Event{711, slog.LevelInfo, "backend server answers again", "A probe was answered."}
	HostRegistered       = Event{712, slog.LevelInfo, "host registered itself in the store", "Other hosts find it there."}
	SettingsReloaded     = Event{713, slog.LevelInfo, "settings were read again", "Limits and the log level of the new file are in force; other changes need a restart."}
	SettingsRejected     = Event{714, slog.LevelError, "changed settings were refused", "The error names the key and the accepted range; the settings in force stay."}
	StoreViewStale       = Event{715, slog.LevelWarn, "view of the store is out of date", "Another host that watches the store knows newer objects, since a watch has gone deaf or a followed host is cut off. The objects are read again."}
	PollerRoleChanged    = Event{716, slog.LevelInfo, "host began or ceased to read the store often", "Two hosts read the store often and the others compare with them."}
	WatchersChanged      = Event{717, slog.LevelInfo, "host follows other hosts", "The hosts from which this host takes the store's objects; none means that it watches the store itself."}
	ServerListReadFailed = Event{701, slog.LevelWarn, "platform list could not be read", "The last list stays in use."}
)

// Catalogue lists every event in the order of its number.
var Catalogue = []Event{
	HostStarting, HostReady, HostDraining, HostStopped, DrainTimedOut, ComponentFailed,
	ConfigApplied, ConfigChanged, ConfigInvalid, ConfigStale,
	MemberChanged, LedgerChanged, LeaseExpired, PeerRejected, LedgerLeaveFailed, PeerStateChanged, PeerSendFailed,
	RequestRefused, RequestQuarantined, RequestServed, LinesOmitted,
	MoveStep, MoveReverted, MoveFinished, MoveRecordFailed,
	ServerListReadFailed, StoreUnavailable, StoreRecovered, StoreObjectInvalid, ServerAdded, ServerLeaving, ServerRemoved,
	DomainEvacuated, DomainRestored, ServerUnreachable, ServerReachable, HostRegistered, SettingsReloaded, SettingsRejected, StoreViewStale, PollerRoleChanged, WatchersChanged,
}
