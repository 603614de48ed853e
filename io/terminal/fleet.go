package terminal

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/core/config"
)

var offFlag = flag{"off", "true to take it back", "false"}

var drainServerCommand = command{
	name: "drain-server", description: "send a backend server no new work; work in flight finishes", example: "drain-server search-3",
	arguments: []argument{{"server", "id of the backend server"}}, flags: []flag{offFlag},
	run: func(ctx context.Context, s *session, v values) error {
		return edit(ctx, s, "servers", v.get("server"), func(d *config.ServerOverride) error {
			return onUnlessOff(v, &d.Drain)
		})
	},
}

var drainHostCommand = command{
	name: "drain-host", description: "leave a host out of look-ups; its requests in flight finish", example: "drain-host host-4",
	arguments: []argument{{"host", "id of the host"}}, flags: []flag{offFlag},
	run: func(ctx context.Context, s *session, v values) error {
		return edit(ctx, s, "hosts", v.get("host"), func(d *config.HostOverride) error {
			return onUnlessOff(v, &d.Drain)
		})
	},
}

// onUnlessOff sets an assertion, or takes it back with --off true.
func onUnlessOff(v values, set *bool) error {
	off, err := strconv.ParseBool(v.get("off"))
	if err != nil {
		return errors.Newf("--off: %q is not true or false", v.get("off"))
	}
	*set = !off
	return nil
}

var hostDeadCommand = command{
	name:        "host-dead",
	description: "assert that no process of a host runs, which releases its share of every rate",
	example:     "host-dead host-4", arguments: []argument{{"host", "id of the host"}}, flags: []flag{offFlag},
	run: func(ctx context.Context, s *session, v values) error {
		return edit(ctx, s, "hosts", v.get("host"), func(d *config.HostOverride) error {
			return onUnlessOff(v, &d.Dead)
		})
	},
}

var regionDeadCommand = command{
	name:        "region-dead",
	description: "assert that no host of a region runs, which releases its share of every rate",
	example:     "region-dead levant", arguments: []argument{{"region", "name of the region"}}, flags: []flag{offFlag},
	run: func(ctx context.Context, s *session, v values) error {
		return edit(ctx, s, "regions", v.get("region"), func(d *config.Region) error {
			return onUnlessOff(v, &d.Dead)
		})
	},
}

var statusCommand = command{
	name: "status", description: "show what the host knows about itself, the fleet and the moves", example: "status --json",
	run: func(ctx context.Context, s *session, _ values) error {
		st, err := s.client.Status(ctx)
		if err != nil {
			return err
		}
		lines := []string{
			fmt.Sprintf("host %s in %s, %s: ready %t, draining %t, %d in flight", st.Host, st.Region, st.FailureDomain, st.Ready, st.Draining, st.InFlight),
			fmt.Sprintf("configuration %d, fresh %t; ledger epoch %d, lease valid %t, %d slots; %d backend servers",
				st.Sequence, st.Fresh, st.LedgerEpoch, st.LeaseValid, st.Slots, st.BackendServers),
		}
		for _, m := range st.Members {
			lines = append(lines, fmt.Sprintf("member %-12s %-10s %-14s %-9s callers %s", m.Host, m.Region, m.FailureDomain, m.State, m.CallerAddress))
		}
		for _, m := range st.Moves {
			lines = append(lines, describeMove(m))
		}
		return s.print(st, strings.Join(lines, "\n"))
	},
}

var explainCommand = command{
	name: "explain", description: "show the newest decisions: why a request was refused or sent somewhere, why a move was reverted",
	example: "explain --kind admission --subject alpha",
	flags: []flag{
		{"kind", "admission, request, configuration, shift or rollout; default: all", ""},
		{"subject", "team, route, server or move; default: all", ""},
		{"limit", "how many decisions, 1 to 1000", "20"},
	},
	run: func(ctx context.Context, s *session, v values) error {
		limit, err := strconv.Atoi(v.get("limit"))
		if err != nil {
			return errors.Mark(errors.Newf("--limit: %q is not a number", v.get("limit")), errUsage)
		}
		decisions, err := s.client.Decisions(ctx, v.get("kind"), v.get("subject"), limit)
		if err != nil {
			return err
		}
		lines := make([]string, 0, len(decisions))
		for _, d := range decisions {
			lines = append(lines, fmt.Sprintf("%s %-13s %-20s %-10s %s", d.Time.Format(time.RFC3339Nano), d.Kind, d.Subject, d.Outcome, d.Reason))
		}
		return s.print(decisions, strings.Join(lines, "\n"))
	},
}
