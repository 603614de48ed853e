package config

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"time"
)

// Warnings returns what Check accepts and what has no effect or contradicts itself: documents that match no request, and limits
// that cancel each other out. At most maxReportedErrors are returned. Hosts take a configuration with warnings.
func (c *Configuration) Warnings() (warnings ValidationErrors) {
	index := c.currentIndex()
	for _, col := range collections {
		check := warningChecks[col.kind]
		if check == nil {
			continue
		}
		for _, name := range col.names(c) {
			check(c, index, name, func(key string, value any, accepted string) {
				text := fmt.Sprintf("%#v", value)
				if key == "" {
					text = fmt.Sprint(value)
				}
				warnings = append(warnings, &ValidationError{Document: col.kind + "/" + name, Key: key, Value: text, Accepted: accepted})
			})
		}
	}
	return warnings[:min(len(warnings), maxReportedErrors)]
}

// warningChecks holds the checks of Warnings by the kind of document.
var warningChecks = map[string]func(c *Configuration, index *index, name string, report reportFunc){
	"templates": warnTemplate, "teams": warnTeam, "routes": warnRoute, "services": warnService,
}

func warnTemplate(c *Configuration, _ *index, name string, report reportFunc) {
	for _, team := range c.Teams {
		if team.Template == name {
			return
		}
	}
	report("", "no team uses the template", "a template of at least one team")
}

func warnTeam(c *Configuration, index *index, name string, report reportFunc) {
	effective := index.teams[name]
	if len(c.Teams[name].Keys) == 0 {
		report("keys", 0, "at least one key, without which no request belongs to the team")
	}
	if len(effective.Routes) == 0 && !c.hasOpenRoute() {
		report("routes", 0, "at least one route, since no route is open")
	}
	for _, routeName := range effective.Routes {
		route, known := c.Routes[routeName]
		if known && len(route.Homes) > 0 && len(effective.Homes) > 0 && !shareRegion(route.Homes, effective.Homes) {
			report("homes", strings.Join(effective.Homes, ","),
				fmt.Sprintf("a home of routes/%s, which are %s", routeName, strings.Join(route.Homes, ",")))
		}
	}
	warnHomes(c, c.Teams[name].Homes, report)
}

func warnRoute(c *Configuration, index *index, name string, report reportFunc) {
	r := c.Routes[name]
	if below, ok := index.virtualHosts[r.VirtualHost].routes[r.PathPrefix+"/"]; ok && !strings.HasSuffix(r.PathPrefix, "/") {
		report("path-prefix", r.PathPrefix,
			fmt.Sprintf("a prefix that is not shadowed: routes/%s takes all paths below %s", below.Name, below.PathPrefix))
	}
	if _, _, err := net.SplitHostPort(r.VirtualHost); err == nil || strings.ContainsAny(r.VirtualHost, "/ ") {
		report("virtual-host", r.VirtualHost, "a host name without a port, since requests are matched without theirs")
	}
	if r.Objective > r.Timeout {
		report("objective", time.Duration(r.Objective).String(), "at most the timeout, "+time.Duration(r.Timeout).String())
	}
	if r.Replay == ReplayNever && r.Attempts > 1 {
		report("attempts", r.Attempts, `at most 1 with replay = "never", since such requests are sent once`)
	}
	if !r.Open && len(c.Teams) > 0 && !slices.ContainsFunc(c.Names("teams"), func(team string) bool {
		return index.teams[team].Allows(name)
	}) {
		report("", "no team may use the route", "a route of at least one team, or open = true")
	}
	warnHomes(c, r.Homes, report)
}

func warnService(c *Configuration, _ *index, name string, report reportFunc) {
	for _, route := range c.Routes {
		if route.Service == name || slices.ContainsFunc(route.Split, func(part WeightedService) bool { return part.Service == name }) {
			return
		}
	}
	report("", "no route leads to the service", "a service of at least one route")
}

// warnHomes reports home regions that the configuration does not declare, if it declares any.
func warnHomes(c *Configuration, homes []string, report reportFunc) {
	for _, region := range homes {
		if _, known := c.Regions[region]; !known && len(c.Regions) > 0 {
			report("homes", region, "the name of one of the regions")
		}
	}
}

func (c *Configuration) hasOpenRoute() bool {
	for _, route := range c.Routes {
		if route.Open {
			return true
		}
	}
	return false
}

func shareRegion(a, b []string) bool {
	return slices.ContainsFunc(a, func(region string) bool { return slices.Contains(b, region) })
}
