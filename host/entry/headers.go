package entry

// HeaderNames names the headers by which callers and backend servers speak to an entry host.
type HeaderNames struct {
	// RequestID names one attempt of a caller; backend servers repeat it in their responses.
	RequestID string
	// TimeLeft is the number of milliseconds that the sender of a request still waits.
	TimeLeft string
	// TeamKey is a team's key in a caller's request; Team is the team's name, which only hosts state.
	TeamKey, Team string
	// AffinityKey is what a request is about; requests with the same value profit from the same backend server.
	AffinityKey string
	// ExpectedServer is the id of the backend server that may run a request; another one answers 421.
	ExpectedServer string
	// NotRun marks a response of a backend server that did not run the request.
	NotRun string
	// ServerLoad is a backend server's statement "running,waiting,slots".
	ServerLoad string
	// ApplicationMarker is a header that each response of a backend server's application has.
	ApplicationMarker string
	// ServerID and ColdFor stand in health responses: the server's id, and the milliseconds for which it is cold.
	ServerID, ColdFor string
}
