package config

import (
	"encoding/hex"
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"
)

// The limits of numbers and lists. The upper bounds of numbers keep their sums and products exact in a float64.
const (
	maxRate     = 1e9
	maxWeight   = 1e6
	maxDuration = 30 * 24 * time.Hour
	// maxPathPrefixBytes bounds the work of a route lookup.
	maxPathPrefixBytes = 256
	maxListLength      = 4096
	maxSplitServices   = 64
	maxAttempts        = 16
	maxPriority        = 100
	maxConnections     = 1e6
	maxBodyBytes       = 1 << 30
)

// maxReportedErrors limits the length of an error message.
const maxReportedErrors = 20

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$`)

const acceptedName = "1 to 128 characters of A-Z a-z 0-9 . _ : - that start with a letter or digit"

// ValidationError describes one value that is not accepted: its document, its key and the accepted range.
type ValidationError struct {
	// Document is kind/name.
	Document string
	// Key is empty when the error concerns the whole document.
	Key      string
	Value    string
	Accepted string
	// Line is the line in the file that was checked, or 0 if it is not known.
	Line int
}

// Error implements error.
func (p *ValidationError) Error() string {
	if p.Key == "" {
		return fmt.Sprintf("%s: %s; accepted: %s", p.Document, p.Value, p.Accepted)
	}
	return fmt.Sprintf("%s: %s = %s; accepted: %s", p.Document, p.Key, p.Value, p.Accepted)
}

// ValidationErrors holds the errors of a check, at most 20.
type ValidationErrors []*ValidationError

// Error implements error.
func (p ValidationErrors) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// reportFunc records that the document being checked has a value that is not accepted.
type reportFunc func(key string, value any, accepted string)

// Check validates the whole configuration. It returns ValidationErrors or nil.
func (c *Configuration) Check() error {
	var problems ValidationErrors
	for _, col := range collections {
		for _, name := range col.names(c) {
			problems = checkDocument(c, col, name, true, problems)
			if len(problems) >= maxReportedErrors {
				return problems[:maxReportedErrors]
			}
		}
	}
	problems = append(problems, c.checkUniqueness()...)
	if len(problems) == 0 {
		return nil
	}
	return problems[:min(len(problems), maxReportedErrors)]
}

// checkDocument checks the name and content of one document and appends its errors to problems. Names of other
// documents are checked only if references is set.
func checkDocument(c *Configuration, col collection, name string, references bool, problems ValidationErrors) ValidationErrors {
	document := col.kind + "/" + name
	if !namePattern.MatchString(name) {
		problems = append(problems, &ValidationError{Document: document, Value: "invalid name", Accepted: acceptedName})
	}
	col.check(c, name, references, func(key string, value any, accepted string) {
		problems = append(problems, &ValidationError{
			Document: document, Key: key, Value: fmt.Sprintf("%#v", value), Accepted: accepted,
		})
	})
	return problems
}

// checkUniqueness finds documents that are valid by themselves but claim the same key, path, link or traffic.
func (c *Configuration) checkUniqueness() (problems ValidationErrors) {
	type uniqueKey struct{ kind, key, value, accepted string }
	owners := map[uniqueKey]string{}
	checkUnique := func(kind, name, key, value, accepted string) {
		unique := uniqueKey{kind: kind, key: key, value: value}
		if other, ok := owners[unique]; ok {
			problems = append(problems, &ValidationError{
				Document: kind + "/" + name, Key: key, Value: fmt.Sprintf("%q", value),
				Accepted: accepted + "; it is also in " + kind + "/" + other,
			})
			return
		}
		owners[unique] = name
	}
	for _, col := range collections {
		for _, name := range col.names(c) {
			switch col.kind {
			case "teams":
				for _, key := range c.Teams[name].Keys {
					checkUnique("teams", name, "keys", strings.ToLower(key), "a key of one team only")
				}
			case "routes":
				r := c.Routes[name]
				checkUnique("routes", name, "path-prefix", r.VirtualHost+r.PathPrefix, "a path prefix of one route only in its virtual host")
			case "links":
				checkUnique("links", name, "from", c.Links[name].From+" to "+c.Links[name].To, "one link for each direction")
			case "shifts":
				if s := c.Shifts[name]; !s.Cancelled {
					checkUnique("shifts", name, "from", s.Route+"/"+s.Team+" from "+s.From, "one running shift for the same traffic")
				}
			case "rollouts":
				if r := c.Rollouts[name]; !r.Cancelled {
					checkUnique("rollouts", name, "service", r.Service, "one running rollout for each service")
				}
			}
		}
	}
	return problems
}

// checkRange requires a number in [low, high], or in (low, high] if lowOpen is set.
func checkRange(report reportFunc, key string, value, low, high float64, lowOpen bool) {
	// The negated condition also rejects NaN.
	if !(value <= high && (value > low || !lowOpen && value == low)) {
		bracket := "["
		if lowOpen {
			bracket = "("
		}
		report(key, value, fmt.Sprintf("a number in %s%g, %g]", bracket, low, high))
	}
}

func checkDuration(report reportFunc, key string, value Duration) {
	if d := time.Duration(value); d <= 0 || d > maxDuration {
		report(key, d.String(), "a duration in (0s, "+maxDuration.String()+"]")
	}
}

func checkReference[D any](report reportFunc, key, name, kind string, documents map[string]D) {
	if _, ok := documents[name]; !ok {
		report(key, name, "the name of one of the "+kind)
	}
}

func checkName(report reportFunc, key, value string) {
	if !namePattern.MatchString(value) {
		report(key, value, acceptedName)
	}
}

func checkOneOf(report reportFunc, key, value string, accepted ...string) {
	for _, a := range accepted {
		if value == a {
			return
		}
	}
	report(key, value, "one of "+strings.Join(accepted, ", "))
}

func checkRoutes(c *Configuration, routes []string, references bool, report reportFunc) {
	if len(routes) > maxListLength {
		report("routes", len(routes), fmt.Sprintf("a list of at most %d names", maxListLength))
	}
	for _, route := range routes {
		if references && route != AllRoutes {
			checkReference(report, "routes", route, "routes", c.Routes)
		}
	}
}

func noCheck[D any](*Configuration, string, D, bool, reportFunc) {}

func checkTemplate(c *Configuration, _ string, t TeamTemplate, references bool, report reportFunc) {
	checkRange(report, "rate", t.Rate, 0, maxRate, true)
	checkRange(report, "burst", t.Burst, 1, maxRate, false)
	checkRange(report, "weight", t.Weight, 0, maxWeight, false)
	checkRoutes(c, t.Routes, references, report)
}

func checkTeam(c *Configuration, _ string, t Team, references bool, report reportFunc) {
	if t.Rate != nil {
		checkRange(report, "rate", *t.Rate, 0, maxRate, true)
	}
	if t.Burst != nil {
		checkRange(report, "burst", *t.Burst, 1, maxRate, false)
	}
	if t.Weight != nil {
		checkRange(report, "weight", *t.Weight, 0, maxWeight, true)
	}
	if t.WhenRegionCut != "" {
		checkOneOf(report, "when-region-cut", t.WhenRegionCut, "serve", "refuse")
	}
	if len(t.Keys) > maxListLength {
		report("keys", len(t.Keys), fmt.Sprintf("a list of at most %d hashes", maxListLength))
	}
	for _, key := range t.Keys {
		if raw, err := hex.DecodeString(key); err != nil || len(raw) != 32 {
			// The value is hidden, since an operator may have pasted the API key itself.
			report("keys", "(hidden)", "64 hexadecimal digits, the SHA-256 of an API key")
		}
	}
	if references {
		checkReference(report, "template", t.Template, "templates", c.Templates)
	}
	checkRoutes(c, t.Routes, references, report)
	checkRange(report, "priority", float64(t.Priority), 0, maxPriority, false)
	checkHomes(t.Homes, report)
}

func checkRoute(c *Configuration, _ string, r Route, references bool, report reportFunc) {
	if !strings.HasPrefix(r.PathPrefix, "/") || len(r.PathPrefix) > maxPathPrefixBytes || HasDotSegment(r.PathPrefix) {
		report("path-prefix", r.PathPrefix,
			fmt.Sprintf("a path of 1 to %d bytes that starts with / and has no . or .. segment", maxPathPrefixBytes))
	}
	checkOneOf(report, "class", string(r.Class), string(ClassPrompt), string(ClassPatient), string(ClassBulk))
	checkDuration(report, "timeout", r.Timeout)
	if r.Objective != 0 {
		checkDuration(report, "objective", r.Objective)
	}
	checkOneOf(report, "replay", string(r.Replay), string(ReplayByMethod), string(ReplayAllowed), string(ReplayNever))
	checkRange(report, "attempts", float64(r.Attempts), 0, maxAttempts, false)
	checkRange(report, "priority", float64(r.Priority), 0, maxPriority, false)
	checkHomes(r.Homes, report)
	checkSplit(c, r, references, report)
	if references && len(r.Split) == 0 {
		checkReference(report, "service", r.Service, "services", c.Services)
	}
}

func checkSplit(c *Configuration, r Route, references bool, report reportFunc) {
	if len(r.Split) > 0 && r.Service != "" {
		report("split", len(r.Split), "either split or service")
	}
	if len(r.Split) > maxSplitServices {
		report("split", len(r.Split), fmt.Sprintf("at most %d services", maxSplitServices))
	}
	for _, part := range r.Split {
		checkRange(report, "split", part.Weight, 0, maxWeight, true)
		if references {
			checkReference(report, "split", part.Service, "services", c.Services)
		}
	}
}

func checkHomes(homes []string, report reportFunc) {
	if len(homes) > maxListLength {
		report("homes", len(homes), fmt.Sprintf("a list of at most %d regions", maxListLength))
	}
	for _, region := range homes {
		checkName(report, "homes", region)
	}
}

func checkService(_ *Configuration, _ string, s Service, _ bool, report reportFunc) {
	if s.Version != "" {
		checkName(report, "version", s.Version)
	}
	if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
		report("health-path", s.HealthPath, "a path that starts with /")
	}
	if s.ColdFor != 0 {
		checkDuration(report, "cold-for", s.ColdFor)
	}
	checkRange(report, "cold-rate", s.ColdRate, 0, maxRate, false)
	checkRange(report, "connections", float64(s.Connections), 0, maxConnections, false)
}

func checkLimit(_ *Configuration, name string, l Limit, _ bool, report reportFunc) {
	checkOneOf(report, "name", name, "callers")
	checkRange(report, "body-bytes", float64(l.BodyBytes), 0, maxBodyBytes, false)
}

// maxClientPrefixes limits the client prefixes of a region in the configuration.
const maxClientPrefixes = 10_000

func checkRegion(_ *Configuration, _ string, r Region, _ bool, report reportFunc) {
	if len(r.Blocks) > maxClientPrefixes {
		report("blocks", len(r.Blocks), "at most 10000 prefixes")
	}
	for _, block := range r.Blocks {
		if prefix, err := netip.ParsePrefix(block); err != nil || prefix.Masked() != prefix {
			report("blocks", block, "an address prefix without host bits, such as 10.1.0.0/16")
		}
	}
}

func checkLink(c *Configuration, _ string, l Link, references bool, report reportFunc) {
	checkRange(report, "bytes-per-second", l.BytesPerSecond, 0, 1e15, true)
	if l.From == l.To {
		report("to", l.To, "a region other than from")
	}
	if references {
		checkReference(report, "from", l.From, "regions", c.Regions)
		checkReference(report, "to", l.To, "regions", c.Regions)
	}
}

func checkShift(c *Configuration, _ string, s Shift, references bool, report reportFunc) {
	checkRange(report, "cap", s.Cap, 0, 1, true)
	checkRange(report, "share", s.Share, 0, min(s.Cap, 1), true)
	checkDuration(report, "within", s.Within)
	checkName(report, "from", s.From)
	checkName(report, "to", s.To)
	if s.From == s.To {
		report("to", s.To, "a region or backend server other than from")
	}
	if (s.Route == "") == (s.Team == "") {
		report("route", s.Route, "set exactly one of route and team")
	}
	if !references {
		return
	}
	if s.Route != "" {
		checkReference(report, "route", s.Route, "routes", c.Routes)
	}
	if s.Team != "" {
		checkReference(report, "team", s.Team, "teams", c.Teams)
	}
	_, fromRegion := c.Regions[s.From]
	if _, toRegion := c.Regions[s.To]; fromRegion != toRegion {
		report("to", s.To, "two regions, or two backend servers, in from and to")
	}
}

func checkRollout(c *Configuration, _ string, r Rollout, references bool, report reportFunc) {
	checkRange(report, "cap", r.Cap, 0, 1, true)
	checkDuration(report, "within", r.Within)
	checkName(report, "from", r.From)
	checkName(report, "to", r.To)
	if r.From == r.To {
		report("to", r.To, "a version other than from")
	}
	checkOneOf(report, "on-too-little-traffic", r.OnTooLittleTraffic, "finish", "revert")
	if !references {
		return
	}
	checkReference(report, "service", r.Service, "services", c.Services)
	// A finished rollout stays valid after the service names the new version.
	if v := c.Services[r.Service].Version; !r.Cancelled && v != "" && v != r.From && v != r.To {
		report("from", r.From, "the service's version "+v)
	}
}
