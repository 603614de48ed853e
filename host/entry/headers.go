package entry

// HeaderNames holds the names of the headers in requests of callers and in requests to backend servers and their responses.
type HeaderNames struct {
	// RequestID identifies one attempt of a caller; backend servers repeat it in their responses.
	RequestID string
	// TimeLeft is the number of milliseconds for which the sender of the request still waits.
	TimeLeft string
	// TeamKey is a team's key in a caller's request. Team is the team's name, which only hosts set.
	TeamKey, Team string
	// AffinityKey identifies the data that a request works on. Requests with the same value benefit from running at the same
	// backend server.
	AffinityKey string
	// ExpectedServer is the ID of the only backend server that may run the request; any other answers 421.
	ExpectedServer string
	// NotRun marks the response of a backend server that did not run the request.
	NotRun string
	// ServerLoad is a backend server's load report, "running,waiting,slots" or "running,waiting,slots,pace".
	ServerLoad string
	// ServerLimit is the number of requests per second that a backend server takes from all hosts together.
	ServerLimit string
	// ApplicationMarker is set in every response of the backend server's application itself.
	ApplicationMarker string
	// ServerID and ColdFor are set in responses to health checks: the server's ID, and the milliseconds for which it is
	// still cold.
	ServerID, ColdFor string
}
