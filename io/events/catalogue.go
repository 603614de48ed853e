// Package events writes structured log events with stable numbers, and keeps the newest decisions for operators to query.
package events

import "log/slog"

// Event is a kind of log event.
type Event struct {
	// Number identifies the event in logs. Numbers are unique and never reused.
	Number  int
	Level   slog.Level
	Message string
	// Meaning says, for operators, what happened and what to do.
	Meaning string
}

// The events. Numbers are grouped by hundreds: 100 process, 200 configuration, 300 membership and ledger, 400 budgets,
// 500 requests, 600 moves (rollouts and shifts), 700 platform and store.
var (
	HostStarting = Event{
		100, slog.LevelInfo, "host is starting",
		"The settings were accepted, and the host starts to listen.",
	}
	HostReady = Event{
		101, slog.LevelInfo, "host is ready",
		"The host has a configuration and serves callers.",
	}
	HostDraining = Event{
		102, slog.LevelInfo, "host is draining",
		"The host is being stopped: look-ups no longer name it, and requests in flight finish.",
	}
	HostStopped = Event{
		103, slog.LevelInfo, "host stopped",
		"All requests in flight have finished, and all components have stopped.",
	}
	DrainTimedOut = Event{
		104, slog.LevelWarn, "drain timed out with requests in flight",
		"Requests that took longer than drain-timeout were aborted. Raise the limit or look for slow backend servers.",
	}
	ComponentFailed = Event{
		105, slog.LevelError, "component of the host failed",
		"The host stops. The error names the component.",
	}
	ConfigApplied = Event{
		200, slog.LevelInfo, "configuration applied",
		"A newer configuration took effect on this host.",
	}
	ConfigChanged = Event{
		201, slog.LevelInfo, "operator changed the configuration",
		"A change was written to the store through this host. The outcome says whether every host has confirmed it.",
	}
	ConfigInvalid = Event{
		202, slog.LevelError, "configuration in the store is invalid",
		"The value was ignored; the current configuration stays in use. Somebody wrote the object without an operator command.",
	}
	ConfigStale = Event{
		203, slog.LevelWarn, "configuration may be stale",
		"No relay has confirmed for 3 s that the configuration is current. Requests with a key are refused until one does.",
	}
	MemberChanged = Event{
		300, slog.LevelInfo, "member state changed",
		"A host was found alive, suspected, dead or leaving.",
	}
	LedgerChanged = Event{
		301, slog.LevelInfo, "ledger reached a new epoch",
		"Slots moved between hosts.",
	}
	LeaseExpired = Event{
		302, slog.LevelWarn, "lease expired",
		"No witness renewed this host's lease. The host admits no requests from its own slots until it has rejoined.",
	}
	PeerRejected = Event{
		303, slog.LevelWarn, "peer connection was rejected",
		"A connection failed the authentication of its hello messages. Check the shared secret and the addresses.",
	}
	LedgerLeaveFailed = Event{
		304, slog.LevelWarn, "host stopped without leaving the ledger",
		"The store was down, or no host took over the slots in time. Until the other hosts have fenced this one, its share of every rate is missing.",
	}
	PeerStateChanged = Event{
		305, slog.LevelInfo, "state of another host changed",
		"A host is new, was restarted or changed its state.",
	}
	PeerSendFailed = Event{
		306, slog.LevelWarn, "sending to other hosts failed",
		"A message to the other hosts could not be sent; the error says why. The next one is sent within a second.",
	}
	RequestRefused = Event{
		500, slog.LevelInfo, "request was refused",
		"The line gives the reason and whether the request ran. docs/OPERATIONS.md explains the reasons.",
	}
	RequestQuarantined = Event{
		501, slog.LevelError, "request is quarantined",
		"A request crashed two backend servers and is refused on all hosts for a limited time. Ask the team about the request.",
	}
	RequestServed = Event{
		502, slog.LevelDebug, "request was served",
		"The backend server's response was passed on to the caller.",
	}
	LinesOmitted = Event{
		503, slog.LevelInfo, "log lines omitted",
		"There were too many lines of one event and reason in a second, or the log's reader was too slow. The line says how many are missing. Metrics count all events.",
	}
	AttemptUnanswered = Event{
		504, slog.LevelInfo, "backend server left a request unanswered",
		"The connection broke before the response was complete. The line gives the request's id and the fingerprint that copies of the request share.",
	}
	CrashCounted = Event{
		505, slog.LevelWarn, "crash counts against a request",
		"A backend server that left the request unanswered has crashed. The line gives the evidence, or the host that reported the crash. After two crashes the request is quarantined.",
	}
	BodyRefused = Event{
		506, slog.LevelWarn, "request body was refused for lack of memory",
		"The bodies of requests fill the host's budget. The line says how much of the body had arrived and how full the parts of the budget are. The request did not run. docs/operators.md, Memory, has the limits.",
	}
	ConnectionsLimited = Event{
		507, slog.LevelWarn, "connections of callers were closed",
		"The host has as many connections, or as long heads of requests, as its memory and descriptors allow. The reason is connections (idle ones are closed for new ones), heads, or blocked-write: a caller did not read its response for 30 s.",
	}
	MoveStep = Event{
		600, slog.LevelInfo, "share or phase of a move changed",
		"A rollout or shift reached another step; the line gives its new state.",
	}
	MoveReverted = Event{
		601, slog.LevelWarn, "move was reverted",
		"A fault, the deadline or the operator ended the rollout or shift, and its traffic moved back. The line gives the reason.",
	}
	MoveFinished = Event{
		602, slog.LevelInfo, "move finished",
		"The whole share of the rollout or shift has moved.",
	}
	MoveRecordFailed = Event{
		603, slog.LevelWarn, "phase of a move could not be recorded",
		"The store did not accept the phase. The write is retried within a second.",
	}
	StoreUnavailable = Event{
		702, slog.LevelWarn, "store is unavailable",
		"The current configuration and list of backend servers stay in use until the store responds again.",
	}
	StoreRecovered = Event{
		703, slog.LevelInfo, "store is available again",
		"Backend servers whose entries expired during the outage are kept for two seconds.",
	}
	StoreObjectInvalid = Event{
		704, slog.LevelWarn, "object in the store is invalid",
		"The object was ignored; the other objects are used. Somebody else wrote it, or it was cut short.",
	}
	ServerAdded = Event{
		705, slog.LevelInfo, "backend server added",
		"A backend server is new or was restarted.",
	}
	ServerLeaving = Event{
		706, slog.LevelInfo, "backend server is leaving",
		"It gets no new requests.",
	}
	ServerRemoved = Event{
		707, slog.LevelInfo, "backend server removed",
		"It is no longer listed and gets no new requests.",
	}
	DomainEvacuated = Event{
		708, slog.LevelInfo, "failure domain is evacuated",
		"Its backend servers get no new requests until the evacuation ends.",
	}
	DomainRestored = Event{
		709, slog.LevelInfo, "evacuation of a failure domain ended",
		"Its backend servers count as cold at first.",
	}
	ServerUnreachable = Event{
		710, slog.LevelWarn, "backend server is unreachable",
		"It gets no requests until it answers a probe.",
	}
	ServerReachable = Event{
		711, slog.LevelInfo, "backend server is reachable again",
		"It answered a probe.",
	}
	HostRegistered = Event{
		712, slog.LevelInfo, "host registered itself in the store",
		"Other hosts find it there.",
	}
	SettingsReloaded = Event{
		713, slog.LevelInfo, "settings reloaded",
		"The limits and the log level of the new file are in use. Other changes need a restart.",
	}
	SettingsRejected = Event{
		714, slog.LevelError, "changed settings were rejected",
		"The error names the key and the accepted range. The current settings stay in use.",
	}
	StoreViewStale = Event{
		715, slog.LevelWarn, "local copy of the store is stale",
		"Another host knows newer objects: a watch no longer delivers changes, or a followed host is cut off. The objects are read again.",
	}
	PollerRoleChanged = Event{
		716, slog.LevelInfo, "poller role changed",
		"Two hosts watch the store with short timeouts; the others compare their objects with them. The line says whether this host is one of the two.",
	}
	WatchersChanged = Event{
		717, slog.LevelInfo, "source of store objects changed",
		"The line names the hosts from which this host takes the store's objects. If there are none, it watches the store itself.",
	}
	ServerLimitStated = Event{
		718, slog.LevelInfo, "backend server states a limit",
		"All hosts together may send the server only so many requests a second, for as long as its responses say so.",
	}
	ServerLimitEnded = Event{
		719, slog.LevelInfo, "limit of a backend server ended",
		"A response of the server itself states no limit any more.",
	}
	ServerLimitInvalid = Event{
		720, slog.LevelWarn, "limit of a backend server is invalid",
		"A malformed limit is ignored: what the server stated before stays in force. Of a limit out of range the nearest bound is used. Ask the service's owners about the value.",
	}
	ServerLimitUsed = Event{
		721, slog.LevelInfo, "requests sent to a backend server with a limit",
		"The number of requests that this host sent in the time of the line. The sum over all hosts should not exceed the limit times that time.",
	}
	ServerReturned = Event{
		722, slog.LevelWarn, "leaving backend server is listed as ready again",
		"It gets new requests again: it said so in a newer report, or in one without a number. The line gives the numbers of its report before and now.",
	}
	ServerEntryOutdated = Event{
		723, slog.LevelWarn, "entry of a backend server is older than the known one",
		"The store executed an earlier write of the server late. The entry is ignored, and the next report of the server replaces it.",
	}
	StoreRestored = Event{
		740, slog.LevelWarn, "store was restored from an older copy",
		"Its era has risen. Evacuations, leaving and removed backend servers and rollouts stay as they were until they are written again, for six seconds at most. Check whether the last changes are in the store.",
	}
	RestoreHoldEnded = Event{
		741, slog.LevelInfo, "restrictions from before a restore ended",
		"What the store lists is in force again. The line names the restrictions that nobody had written again.",
	}
	StoreEraInvalid = Event{
		742, slog.LevelWarn, "era of the store is invalid",
		"The header cannot be parsed and is ignored in each such response; only the first one is logged.",
	}
	ServerListReadFailed = Event{
		701, slog.LevelWarn, "list of backend servers could not be read",
		"The platform did not deliver the list, and the last one stays in use; or entries are invalid, and the others are used. The error says which.",
	}
)

// Catalogue lists all events in the order of their numbers.
var Catalogue = []Event{
	HostStarting, HostReady, HostDraining, HostStopped, DrainTimedOut, ComponentFailed,
	ConfigApplied, ConfigChanged, ConfigInvalid, ConfigStale,
	MemberChanged, LedgerChanged, LeaseExpired, PeerRejected, LedgerLeaveFailed, PeerStateChanged, PeerSendFailed,
	RequestRefused, RequestQuarantined, RequestServed, LinesOmitted, AttemptUnanswered, CrashCounted, BodyRefused, ConnectionsLimited,
	MoveStep, MoveReverted, MoveFinished, MoveRecordFailed,
	ServerListReadFailed, StoreUnavailable, StoreRecovered, StoreObjectInvalid, ServerAdded, ServerLeaving, ServerRemoved,
	DomainEvacuated, DomainRestored, ServerUnreachable, ServerReachable, HostRegistered, SettingsReloaded, SettingsRejected,
	StoreViewStale, PollerRoleChanged, WatchersChanged, ServerLimitStated, ServerLimitEnded, ServerLimitInvalid, ServerLimitUsed,
	ServerReturned, ServerEntryOutdated,
	StoreRestored, RestoreHoldEnded, StoreEraInvalid,
}
