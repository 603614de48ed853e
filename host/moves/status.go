package moves

import (
	"time"

	"vanillatally/core/rollout"
)

// Status describes one move to operators.
type Status struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	From string `json:"from"`
	To   string `json:"to"`
	// Phase is empty while this host knows no record of the move.
	Phase string `json:"phase"`
	// Share is the share that this host applies, RecordedShare that of the newest known record.
	Share         float64 `json:"share"`
	RecordedShare float64 `json:"recorded"`
	Driver        string  `json:"driver"`
	FencingToken  uint64  `json:"fence"`
	// NextShare is the share of the next step, in NextIn at the earliest. Only the driver knows them.
	NextShare float64       `json:"next-share,omitempty"`
	NextIn    time.Duration `json:"next-in-ns,omitempty"`
	// DeadlineIn is the time to the deadline as far as this host knows. It is negative after the deadline.
	DeadlineIn time.Duration `json:"deadline-in-ns"`
	Reason     string        `json:"reason"`
	// Inconclusive is set while there are too few requests, or no measurements, to decide the step.
	Inconclusive bool `json:"too-little-traffic,omitempty"`
	// Evidence holds the test statistics by route. Only the driver knows them.
	Evidence map[string]rollout.RouteEvidence `json:"evidence,omitempty"`
	// HostsWithoutReports names the live hosts that don't report to the driver. Only the driver knows them.
	HostsWithoutReports []string `json:"missing,omitempty"`
	// Vetoes holds the hosts and reasons of the vetoes that no record acknowledges.
	Vetoes    []string `json:"vetoes,omitempty"`
	Cancelled bool     `json:"cancelled,omitempty"`
	Steps     []Step   `json:"steps,omitempty"`
}

// Status returns all moves as this host knows them, ordered by kind and name.
func (s *Service) Status() (list []Status) {
	withoutReports := s.hostsWithoutReports(s.liveHosts())
	for _, m := range s.table.Load().all {
		m.mu.Lock()
		now := s.now()
		st := Status{
			Kind: m.kind.name, Name: m.name, From: m.source(), To: m.destination(), Phase: m.record.Phase, Share: m.share(),
			RecordedShare: m.record.Share, Driver: m.record.Driver, FencingToken: m.record.FencingToken, Reason: m.record.Reason,
			DeadlineIn: m.within(), Cancelled: m.cancelled.Load(), Steps: m.record.Steps,
		}
		if m.version == 0 {
			st.Reason = "waiting for a driver"
		} else {
			st.DeadlineIn -= m.record.Elapsed
			if !isTerminal(m.record.Phase) {
				st.DeadlineIn -= now - m.recordReceivedAt
			}
		}
		if m.lease.driving {
			st.HostsWithoutReports = withoutReports
			m.lease.machine.writeStatus(now, &st)
		}
		for _, v := range m.vetoes {
			st.Vetoes = append(st.Vetoes, v.Host+": "+v.Reason)
		}
		m.mu.Unlock()
		list = append(list, st)
	}
	return list
}
