package main

import (
	"fmt"
	"math"
	"strings"
)

// budgetItem is a row of a budget.
type budgetItem struct {
	name, basis string
	value       float64
	// excluded rows are shown but not added to the sum.
	excluded bool
}

// budget is a table of resource uses whose sum is compared with a limit.
type budget struct {
	title, unit string
	limit       float64
	items       []budgetItem
}

// budgets returns the budgets that the tables of control traffic do not contain.
func budgets(r benchmarkResults) (all []budget, err error) {
	get := func(benchmark, unit string) float64 {
		value, missing := r.mean(benchmark, unit)
		if missing != nil && err == nil {
			err = missing
		}
		return value
	}
	designedCost, problem := sumCosts(designedTraffic, targetHosts, r)
	if problem != nil {
		return nil, problem
	}
	proposedCost, problem := sumCosts(proposedTraffic, targetHosts, r)
	if problem != nil {
		return nil, problem
	}
	lookups := float64(targetLookupRate) / targetHosts
	changes := 26000.0 / secondsPerDay
	plan := get("Plan/blocks=630000", "sec/op") / 60
	indexItems := []budgetItem{
		{"decisions", "1,089 look-ups/s at `BenchmarkRank/blocks=630000`", 100 * lookups / (1e6 * get("Rank/blocks=630000", "M-lookups/s")), false},
		{"changes of the index", "0.3/s, half blocks, half sites, at `BenchmarkChange/blocks=630000`", 100 * changes * (get("Change/blocks=630000/kind=block", "sec/op") + get("Change/blocks=630000/kind=site", "sec/op")) / 2, false},
	}
	headroomItem := budgetItem{"headroom, at one host of each region", "each 60 s, `BenchmarkPlan/blocks=630000`", 100 * plan, true}
	httpItem := budgetItem{"HTTP of the look-ups", "1,089/s at `BenchmarkHTTP/lookup/blocks=630000`, 2 cores, client included", 100 * lookups * 2 * get("HTTP/lookup/blocks=630000-2", "sec/op"), true}
	indexMemory := get("Load/blocks=630000", "B") / 1e6
	tableMemory := get("Tables/hosts=4500", "B") / 1e6
	claimBytes := 6*get("Message/kind=claim-begin/entries=36", "tcp-B") + 2*get("Message/kind=claim-finish/entries=1024", "tcp-B")
	cpuBudget := func(title string, messages trafficCost) budget {
		return budget{title, "% of a core", 100 * limitCPU, append(
			[]budgetItem{{"messages", "the table above", 100 * messages.cpu, false}},
			append(indexItems, headroomItem, httpItem)...)}
	}
	all = []budget{
		cpuBudget("CPU of a host at the target, as designed", designedCost),
		cpuBudget("CPU of a host at the target, with the proposed changes", proposedCost),
		{"Memory of a host at the target", "MB", limitMemory, []budgetItem{
			{"look-up index", "`BenchmarkLoad/blocks=630000`", indexMemory, false},
			{"members and documents", "`BenchmarkTables/hosts=4500`", tableMemory, false},
			{"claims", "the bound of 64 MiB of section 4.4", 67.1, false},
			{"garbage before a collection", "as much as lives, Go's default", indexMemory + tableMemory + 67.1, false},
		}},
		{"Bytes of roles that only some hosts have, at the target, as designed", "B/s", limitBytes, []budgetItem{
			{"relay of the configuration", "freshness to the 213 others of its region directly instead of by flooding", 213 * get("Message/kind=freshness/entries=1", "tcp-B"), true},
			{"holder of slots", "8 loans/s of 4,500 hosts, 3 messages each, over 64 holders", 8 * targetHosts / 64 * 3 * get("Message/kind=loan/entries=1", "tcp-B"), true},
			{"holder of slots, with look-ups that name holders", "1 loan/s of each host, compact, over UDP", targetHosts / 64.0 * 3 * get("Message/kind=compact-loan/entries=1", "udp-B"), true},
			{"driver of one rollout", "evidence of 4,500 hosts each second", targetHosts * get("Message/kind=evidence/entries=4", "tcp-B"), true},
			{"driver of one rollout, with sums up a tree", "6 children each second", 6 * get("Message/kind=compact-evidence/entries=4", "udp-B"), true},
			{"a keyed non-idempotent request, bytes each", "begin, finish of 1 KB and both answers, at both ends; a cost of the request", claimBytes, true},
		}},
		{"Reads of the store at the target", "calls/s", 2000, []budgetItem{
			{"waiting watches of relays", "21 regions, configuration and ledger, each counted as a call all the time", 42, false},
			{"repeated watches", "the same each 10 s", 4.2, false},
			{"freshness", "each relay reads once a second", 21, false},
			{"reads before writes", "1 for each change, and for 10% a second after a conflict", 1.1 * changes, false},
			{"hosts that start", "251 a day, 2 objects", 251 * 2 / float64(secondsPerDay), false},
		}},
		{"Writes of the store at the target", "calls/s", 300, []budgetItem{
			{"configuration", "26,000 a day, 10% repeated", 1.1 * changes, false},
			{"ledger", "251 hosts a day, join and leave", 502 / float64(secondsPerDay), false},
			{"moves", "50 at once, driver's record each 5 s and a step each 30 s", 50/5.0 + 50/30.0, false},
		}},
		{"Time until a change is in force at the last host, ordinary day", "s", 4, []budgetItem{
			{"write", "the store answers in milliseconds", 0.01, false},
			{"watch to the relay of another region", "one way", 0.055, false},
			{"broadcast over the rings", "6 hops of 55 ms", 6 * 0.055, false},
			{"a host behind neighbours that died but are not suspected yet", "waits for the next heartbeat of a living one (2 s with the proposed changes)", 2, false},
			{"pull of the missing change", "request and answer, 55 ms each", 0.11, false},
			{"report back to the operator's host", "6 hops of 55 ms", 6 * 0.055, false},
		}},
	}
	return all, err
}

// writeBudgetTables writes one table for each budget.
func writeBudgetTables(b *strings.Builder, r benchmarkResults) error {
	list, err := budgets(r)
	if err != nil {
		return err
	}
	for _, t := range list {
		fmt.Fprintf(b, "### %s\n\n| part | basis | %s |\n|---|---|---|\n", t.title, t.unit)
		for _, item := range t.items {
			note := ""
			if item.excluded {
				note = fmt.Sprintf(", not in the sum: %.2f× of the limit", item.value/t.limit)
			}
			fmt.Fprintf(b, "| %s | %s | %s%s |\n", item.name, item.basis, formatNumber(item.value), note)
		}
		if added, some := t.sum(); some {
			fmt.Fprintf(b, "| **sum** | limit %g | **%s**, %.2f× of the limit |\n", t.limit, formatNumber(added), added/t.limit)
		}
		b.WriteString("\n")
	}
	return nil
}

// sum adds the items that are not excluded; found is false if there are none.
func (t budget) sum() (sum float64, found bool) {
	for _, i := range t.items {
		if !i.excluded {
			sum, found = sum+i.value, true
		}
	}
	return sum, found
}

// writeSummary writes a table that compares each sum with its limit and says which limits are exceeded.
func writeSummary(b *strings.Builder, r benchmarkResults) error {
	b.WriteString("### Sums against their limits\n\n| sum | value | limit | |\n|---|---|---|---|\n")
	row := func(name string, value, limit float64, unit string) {
		verdict := fmt.Sprintf("kept, %.2f of the limit", value/limit)
		if value > limit {
			verdict = fmt.Sprintf("**missed by a factor of %.2f**", value/limit)
		}
		fmt.Fprintf(b, "| %s | %s %s | %g | %s |\n", name, formatNumber(value), unit, limit, verdict)
	}
	for _, t := range []struct {
		name  string
		parts []trafficComponent
		hosts float64
	}{
		{"in + out of a host at 9 hosts, as designed", designedTraffic, 9},
		{"in + out of a host at 4,500 hosts, as designed", designedTraffic, targetHosts},
		{"in + out of a host at 4,500 hosts, with the proposed changes (projection)", proposedTraffic, targetHosts},
	} {
		l, err := sumCosts(t.parts, t.hosts, r)
		if err != nil {
			return err
		}
		row(t.name, l.bytes, limitBytes, "B/s")
	}
	list, err := budgets(r)
	if err != nil {
		return err
	}
	for _, t := range list {
		if value, some := t.sum(); some {
			row(t.title, value, t.limit, t.unit)
		}
	}
	b.WriteString("\n")
	return nil
}

// formatNumber formats x with three significant digits, or as an integer from 100 on.
func formatNumber(x float64) string {
	if math.Abs(x) >= 100 {
		return fmt.Sprintf("%.0f", x)
	}
	return fmt.Sprintf("%.3g", x)
}
