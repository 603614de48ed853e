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

var offFlag = flag{"off", "true to undo the setting", "false"}

var drainServerCommand = command{
	name: "drain-server", description: "stop sending new requests to a backend server; requests in flight finish",
	example:   "drain-server search-3",
	arguments: []argument{{"server", "id of the backend server"}}, flags: []flag{offFlag},
	run: func(ctx context.Context, s *session, v values) error {
		return editDocument(ctx, s, "servers", v.get("server"), func(d *config.ServerOverride) error {
			return setUnlessOff(v, &d.Drain)
		})
	},
}

var drainHostCommand = command{
	name: "drain-host", description: "remove a host from look-up answers; its requests in flight finish",
	example:   "drain-host host-4",
	arguments: []argument{{"host", "id of the host"}}, flags: []flag{offFlag},
	run: func(ctx context.Context, s *session, v values) error {
		return editDocument(ctx, s, "hosts", v.get("host"), func(d *config.HostOverride) error {
			return setUnlessOff(v, &d.Drain)
		})
	},
}

// setUnlessOff sets target to true, or to false with --off true.
func setUnlessOff(v values, target *bool) error {
	off, err := strconv.ParseBool(v.get("off"))
	if err != nil {
		return errors.Newf("--off: %q is not true or false", v.get("off"))
	}
	*target = !off
	return nil
}

var hostDeadCommand = command{
	name:        "host-dead",
	description: "declare that no process of a host is running, which releases its share of every rate limit",
	example:     "host-dead host-4", arguments: []argument{{"host", "id of the host"}}, flags: []flag{offFlag},
	run: func(ctx context.Context, s *session, v values) error {
		return editDocument(ctx, s, "hosts", v.get("host"), func(d *config.HostOverride) error {
			return setUnlessOff(v, &d.Dead)
		})
	},
}

var regionDeadCommand = command{
	name:        "region-dead",
	description: "declare that no host of a region is running, which releases its share of every rate limit",
	example:     "region-dead levant", arguments: []argument{{"region", "name of the region"}}, flags: []flag{offFlag},
	run: func(ctx context.Context, s *session, v values) error {
		return editDocument(ctx, s, "regions", v.get("region"), func(d *config.Region) error {
			return setUnlessOff(v, &d.Dead)
		})
	},
}

var statusCommand = command{
	name: "status", description: "show the host's state and its view of the fleet, the shifts and the rollouts",
	example: "status --json",
	run: func(ctx context.Context, s *session, _ values) error {
		status, err := s.client.Status(ctx)
		if err != nil {
			return err
		}
		lines := []string{
			fmt.Sprintf("host %s in %s, %s: ready %t, draining %t, %d in flight",
				status.Host, status.Region, status.FailureDomain, status.Ready, status.Draining, status.InFlight),
			fmt.Sprintf("configuration %d, fresh %t; ledger epoch %d, lease valid %t, %d slots; %d backend servers",
				status.Sequence, status.Fresh, status.LedgerEpoch, status.LeaseValid, status.Slots, status.BackendServers),
		}
		for _, m := range status.Members {
			lines = append(lines, fmt.Sprintf("member %-12s %-10s %-14s %-9s callers %s",
				m.Host, m.Region, m.FailureDomain, m.State, m.CallerAddress))
		}
		for _, m := range status.Moves {
			lines = append(lines, describeMove(m))
		}
		return s.print(status, strings.Join(lines, "\n"))
	},
}

var explainCommand = command{
	name:        "explain",
	description: "show the newest decisions: why a request was refused or routed, why a shift or rollout was reverted",
	example:     "explain --kind admission --subject alpha",
	flags: []flag{
		{"kind", "admission, request, configuration, shift or rollout; default: all", ""},
		{"subject", "name of a team, route, backend server, shift or rollout; default: all", ""},
		{"limit", "maximum number of decisions, 1 to 1000", "20"},
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
			lines = append(lines, fmt.Sprintf("%s %-13s %-20s %-10s %s",
				d.Time.Format(time.RFC3339Nano), d.Kind, d.Subject, d.Outcome, d.Reason))
		}
		return s.print(decisions, strings.Join(lines, "\n"))
	},
}
