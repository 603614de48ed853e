package terminal

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"vanillatally/io/events"
)

var logsFlag = flag{"logs", "folder with the log files of the hosts", "logs"}

// moveContextWindow is the time before a request in which trace looks for an event of a shift or rollout of its service.
const moveContextWindow = 15 * time.Second

var traceCommand = command{
	name: "trace", description: "show from log files the outcome of a request and the state of its host at the time",
	example: "trace 9c41d07be2a35f68 --logs logs", arguments: []argument{{"request", "id of the request"}}, flags: []flag{logsFlag},
	run: func(_ context.Context, s *session, v values) error {
		lines, err := events.ReadLogs(v.get("logs"))
		if err != nil {
			return errors.Mark(err, errUsage)
		}
		output := traceRequest(lines, v.get("request"))
		if len(output) == 0 {
			return errors.Newf("no log line for request %s; served requests are logged at level debug only", v.get("request"))
		}
		return s.print(output, strings.Join(output, "\n"))
	},
}

// traceRequest renders the log lines of a request, each preceded by the lines that show its host's state at the time.
func traceRequest(lines []events.Line, request string) (output []string) {
	for i, line := range lines {
		if line.StringAttribute("request") != request {
			continue
		}
		output = append(output, "state of "+line.Host+" at the time:")
		for _, earlier := range contextLines(lines[:i], line) {
			output = append(output, "  "+describeLine(earlier))
		}
		output = append(output, "the request:", "  "+describeLine(line))
	}
	return output
}

// contextLines returns the earlier lines of the request's host that help to explain the request's line. These are the
// latest lines about the host itself, its configuration, each kind of object in the store, each failure domain and the
// request's backend servers, and the latest one about a shift or rollout of its service within moveContextWindow.
func contextLines(earlier []events.Line, request events.Line) (found []events.Line) {
	latest := map[string]int{}
	for i, line := range earlier {
		if line.Host != request.Host {
			continue
		}
		switch line.Event {
		case events.ConfigApplied.Number, events.HostStarting.Number, events.HostDraining.Number:
			latest[line.Message] = i
		case events.StoreUnavailable.Number, events.StoreRecovered.Number, events.StoreViewStale.Number:
			latest["store "+line.StringAttribute("kind")] = i
		case events.DomainEvacuated.Number, events.DomainRestored.Number:
			latest["domain "+line.StringAttribute("failure-domain")] = i
		case events.ServerAdded.Number, events.ServerLeaving.Number, events.ServerRemoved.Number,
			events.ServerUnreachable.Number, events.ServerReachable.Number:
			if server := line.StringAttribute("server"); server != "" &&
				(server == request.StringAttribute("server") || server == request.StringAttribute("candidate")) {
				latest["server "+server] = i
			}
		case events.MoveStep.Number, events.MoveReverted.Number, events.MoveFinished.Number:
			if request.Time.Sub(line.Time) < moveContextWindow && line.StringAttribute("service") == request.StringAttribute("service") {
				latest["move"] = i
			}
		}
	}
	for _, i := range slices.Sorted(maps.Values(latest)) {
		found = append(found, earlier[i])
	}
	return found
}

// describeLine renders a log line with its attributes sorted by name and its durations with a unit.
func describeLine(line events.Line) string {
	parts := []string{line.Time.Format("15:04:05.000"), line.Host, fmt.Sprintf("[%d]", line.Event), line.Message}
	for _, name := range slices.Sorted(maps.Keys(line.Attributes)) {
		parts = append(parts, name+"="+describeValue(name, line.Attributes[name]))
	}
	return strings.Join(parts, " ")
}

// durationAttributes are the log attributes whose values are nanoseconds.
var durationAttributes = []string{"expected", "left", "took", "wait", "cold-for", "within", "elapsed"}

func describeValue(name string, value any) string {
	if number, ok := value.(float64); ok {
		if slices.Contains(durationAttributes, name) {
			return time.Duration(number).Round(time.Millisecond / 10).String()
		}
		return fmt.Sprintf("%.4g", number)
	}
	if text, ok := value.(string); ok {
		return text
	}
	encoded, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(encoded)
}

var reportCommand = command{
	name:        "report",
	description: "summarize log files: refusals by reason and team, failed dependencies, configuration sequences by host",
	example:     "report --logs logs", flags: []flag{logsFlag},
	run: func(_ context.Context, s *session, v values) error {
		lines, err := events.ReadLogs(v.get("logs"))
		if err != nil {
			return errors.Mark(err, errUsage)
		}
		summary := summarize(lines)
		return s.print(summary, strings.Join(summary, "\n"))
	},
}

// summarize counts refusals and failed dependencies and lists the configurations of each host. Lines that the rate limit
// of the log omitted are counted as refusals, by reason, from the line that says how many were omitted. Its event is not
// looked at, so that omitted lines about unreachable backend servers are counted there too.
func summarize(lines []events.Line) (summary []string) {
	refusals, failures, sequences := map[string]int{}, map[string]int{}, map[string]string{}
	for _, line := range lines {
		switch line.Event {
		case events.RequestRefused.Number:
			refusals[line.StringAttribute("reason")+" team "+line.StringAttribute("team")]++
		case events.LinesOmitted.Number:
			count, _ := line.Attributes["count"].(float64)
			refusals[line.StringAttribute("reason")+" (omitted lines)"] += int(count)
		case events.StoreUnavailable.Number:
			failures["store, "+line.StringAttribute("kind")+", by "+line.Host]++
		case events.ServerUnreachable.Number:
			failures["backend server "+line.StringAttribute("server")]++
		case events.ConfigApplied.Number:
			sequences[line.Host] += " " + describeValue("sequence", line.Attributes["sequence"])
		}
	}
	summary = append(summary, "refusals:")
	summary = append(summary, formatCounts(refusals)...)
	summary = append(summary, "failed dependencies:")
	summary = append(summary, formatCounts(failures)...)
	summary = append(summary, "configuration sequences in the order of their activation:")
	for _, host := range slices.Sorted(maps.Keys(sequences)) {
		summary = append(summary, "  "+host+":"+sequences[host])
	}
	return summary
}

// formatCounts renders one row for each count, sorted by count in descending order.
func formatCounts(counts map[string]int) (rows []string) {
	names := slices.Sorted(maps.Keys(counts))
	slices.SortStableFunc(names, func(a, b string) int { return counts[b] - counts[a] })
	for _, name := range names {
		rows = append(rows, fmt.Sprintf("%6d  %s", counts[name], name))
	}
	return rows
}
