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

// traceBefore is how long before a request an event of its host or its backend server may explain it.
const traceBefore = 15 * time.Second

var traceCommand = command{
	name: "trace", description: "tell from log files what became of a request and what its host knew",
	example: "trace 9c41d07be2a35f68 --logs logs", arguments: []argument{{"request", "id of the request"}}, flags: []flag{logsFlag},
	run: func(_ context.Context, s *session, v values) error {
		lines, err := events.ReadLogs(v.get("logs"))
		if err != nil {
			return errors.Mark(err, errUsage)
		}
		story := trace(lines, v.get("request"))
		if len(story) == 0 {
			return errors.Newf("no line about request %s; served requests are logged at level debug only", v.get("request"))
		}
		return s.print(story, strings.Join(story, "\n"))
	},
}

// trace returns the lines about a request, each after what its host knew at the time.
func trace(lines []events.Line, request string) (story []string) {
	for i, line := range lines {
		if line.StringAttribute("request") != request {
			continue
		}
		story = append(story, "what "+line.Host+" knew:")
		for _, known := range background(lines[:i], line) {
			story = append(story, "  "+describeLine(known))
		}
		story = append(story, "the request:", "  "+describeLine(line))
	}
	return story
}

// background returns the lines before about that explain it: the configuration in force, the last word about the store,
// and what happened to the servers and failure domains lately.
func background(before []events.Line, about events.Line) (found []events.Line) {
	last := map[string]int{}
	for i, line := range before {
		if line.Host != about.Host {
			continue
		}
		switch line.Event {
		case events.ConfigApplied.Number, events.HostStarting.Number, events.HostDraining.Number:
			last[line.Message] = i
		case events.StoreUnavailable.Number, events.StoreRecovered.Number, events.StoreViewStale.Number:
			last["store "+line.StringAttribute("kind")] = i
		case events.DomainEvacuated.Number, events.DomainRestored.Number:
			last["domain "+line.StringAttribute("failure-domain")] = i
		case events.ServerAdded.Number, events.ServerLeaving.Number, events.ServerRemoved.Number,
			events.ServerUnreachable.Number, events.ServerReachable.Number:
			if server := line.StringAttribute("server"); server != "" &&
				(server == about.StringAttribute("server") || server == about.StringAttribute("candidate")) {
				last["server "+server] = i
			}
		case events.MoveStep.Number, events.MoveReverted.Number, events.MoveFinished.Number:
			if about.Time.Sub(line.Time) < traceBefore && line.StringAttribute("service") == about.StringAttribute("service") {
				last["move"] = i
			}
		}
	}
	for _, i := range slices.Sorted(maps.Values(last)) {
		found = append(found, before[i])
	}
	return found
}

// describeLine renders a line with its attributes in the order of their names; durations are shown with a unit.
func describeLine(line events.Line) string {
	parts := []string{line.Time.Format("15:04:05.000"), line.Host, fmt.Sprintf("[%d]", line.Event), line.Message}
	for _, name := range slices.Sorted(maps.Keys(line.Attributes)) {
		parts = append(parts, name+"="+describeValue(name, line.Attributes[name]))
	}
	return strings.Join(parts, " ")
}

// durations are the attributes that hold nanoseconds.
var durations = []string{"expected", "left", "took", "wait", "cold-for", "within", "elapsed"}

func describeValue(name string, value any) string {
	if number, ok := value.(float64); ok {
		if slices.Contains(durations, name) {
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
	name: "report", description: "sum up log files: refusals by reason and team, dependencies that were lost, configurations by host",
	example: "report --logs logs", flags: []flag{logsFlag},
	run: func(_ context.Context, s *session, v values) error {
		lines, err := events.ReadLogs(v.get("logs"))
		if err != nil {
			return errors.Mark(err, errUsage)
		}
		summary := summarize(lines)
		return s.print(summary, strings.Join(summary, "\n"))
	},
}

// summarize counts what a folder of logs holds. Lines that a host left out are counted with their reason.
func summarize(lines []events.Line) (summary []string) {
	refusals, lost, sequences := map[string]int{}, map[string]int{}, map[string]string{}
	for _, line := range lines {
		switch line.Event {
		case events.RequestRefused.Number:
			refusals[line.StringAttribute("reason")+" team "+line.StringAttribute("team")]++
		case events.LinesOmitted.Number:
			count, _ := line.Attributes["count"].(float64)
			refusals[line.StringAttribute("reason")+" (lines left out)"] += int(count)
		case events.StoreUnavailable.Number:
			lost["store, "+line.StringAttribute("kind")+", by "+line.Host]++
		case events.ServerUnreachable.Number:
			lost["backend server "+line.StringAttribute("server")]++
		case events.ConfigApplied.Number:
			sequences[line.Host] += " " + describeValue("sequence", line.Attributes["sequence"])
		}
	}
	summary = append(summary, "refusals:")
	summary = append(summary, counted(refusals)...)
	summary = append(summary, "dependencies lost:")
	summary = append(summary, counted(lost)...)
	summary = append(summary, "configurations in force, in order:")
	for _, host := range slices.Sorted(maps.Keys(sequences)) {
		summary = append(summary, "  "+host+":"+sequences[host])
	}
	return summary
}

// counted renders counts, the largest first.
func counted(counts map[string]int) (rows []string) {
	names := slices.Sorted(maps.Keys(counts))
	slices.SortStableFunc(names, func(a, b string) int { return counts[b] - counts[a] })
	for _, name := range names {
		rows = append(rows, fmt.Sprintf("%6d  %s", counts[name], name))
	}
	return rows
}
