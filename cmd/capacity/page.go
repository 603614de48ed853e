package main

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// The markers in the page that enclose the tables.
const (
	tablesBegin = "<!-- tables: go run ./cmd/capacity tables -->"
	tablesEnd   = "<!-- end of tables -->"
)

// renderTables returns the tables of the page, computed from the recorded benchmarks.
func renderTables(r benchmarkResults) (text string, err error) {
	defer func() { err = errors.Wrap(err, "compute the page's tables") }()
	var b strings.Builder
	if err = writeSummary(&b, r); err != nil {
		return "", err
	}
	for _, t := range []struct {
		title string
		parts []trafficComponent
	}{{"Messages as designed", designedTraffic}, {"Messages with the proposed changes (projection)", proposedTraffic}} {
		if err = writeMessageTable(&b, t.title, t.parts, r); err != nil {
			return "", err
		}
	}
	if err = writeBudgetTables(&b, r); err != nil {
		return "", err
	}
	for _, m := range benchmarkTables {
		fmt.Fprintf(&b, "### %s\n\n| benchmark | %s | spread | limit | |\n|---|---|---|---|---|\n", m.title, m.label)
		for _, name := range m.names {
			if err = writeBenchmarkRow(&b, m, name, r); err != nil {
				return "", err
			}
		}
		b.WriteString("\n")
	}
	if err = writeHTTPTable(&b, r); err != nil {
		return "", err
	}
	if err = writeLossTable(&b, r); err != nil {
		return "", err
	}
	return b.String(), nil
}

// writeHTTPTable writes a table that compares look-ups over HTTP with a handler that returns a constant response. The
// verdict is based on the means of the runs.
func writeHTTPTable(b *strings.Builder, r benchmarkResults) error {
	b.WriteString("### Look-up over HTTP against a constant handler\n\n| `BenchmarkHTTP` | look-up µs | constant µs | requests/s as a ratio | of the runs, in order | limit | |\n|---|---|---|---|---|---|---|\n")
	for _, size := range indexSizes {
		lookups, err := r.values("HTTP/lookup/"+size+"-2", "sec/op")
		if err != nil {
			return err
		}
		constants, err := r.values("HTTP/constant/"+size+"-2", "sec/op")
		if err != nil {
			return err
		}
		lookup, _ := r.mean("HTTP/lookup/"+size+"-2", "sec/op")     // values found it
		constant, _ := r.mean("HTTP/constant/"+size+"-2", "sec/op") // values found it
		var runs []string
		for i := range min(len(lookups), len(constants)) {
			runs = append(runs, fmt.Sprintf("%.2f", constants[i]/lookups[i]))
		}
		verdict := "kept"
		if constant/lookup < 0.8 {
			verdict = "missed"
		}
		fmt.Fprintf(b, "| %s | %.1f | %.1f | %.2f | %s | at least 0.8 | %s |\n", size, lookup*1e6, constant*1e6, constant/lookup, strings.Join(runs, ", "), verdict)
	}
	b.WriteString("\n")
	return nil
}

// writeLossTable writes the results of BenchmarkLoss. The simulations have fixed seeds, so all runs have the same result.
func writeLossTable(b *strings.Builder, r benchmarkResults) error {
	b.WriteString("### After a loss, at 60% use\n\n| sites | loss | way | clients moved beyond the lost ones | highest load/capacity before | after | clients without a site, worst instant |\n|---|---|---|---|---|---|---|\n")
	for _, sites := range []int{290, 967, 2900} {
		for _, loss := range lossScenarios {
			for _, way := range []string{"rendezvous", "bounded", "bounded-oracle"} {
				name := fmt.Sprintf("Loss/way=%s/loss=%s/sites=%d", way, loss.name, sites)
				var cells [4]float64
				for i, unit := range []string{"moved", "load/capacity-before", "load/capacity-after", "unserved"} {
					value, err := r.mean(name, unit)
					if err != nil {
						return err
					}
					cells[i] = value
				}
				fmt.Fprintf(b, "| %d | %s | %s | %.4f%% | %.3f | %.3f | %.3f%% |\n", sites, loss.name, way, 100*cells[0], cells[1], cells[2], 100*cells[3])
			}
		}
	}
	b.WriteString("\n")
	return nil
}

// writeMessageTable writes the control traffic of a host, at 9 hosts and at the target.
func writeMessageTable(b *strings.Builder, title string, parts []trafficComponent, r benchmarkResults) error {
	fmt.Fprintf(b, "### %s\n\n| part | rate | sample `BenchmarkMessage/kind=` | messages/s at 9 | bytes each | B/s at 9 | messages/s at 4,500 | bytes each | B/s at 4,500 | CPU at 4,500 |\n|---|---|---|---|---|---|---|---|---|---|\n", title)
	for _, p := range parts {
		today, err := p.cost(9, r)
		if err != nil {
			return err
		}
		target, err := p.cost(targetHosts, r)
		if err != nil {
			return err
		}
		fmt.Fprintf(b, "| %s | %s | `%s` over %s | %.3f | %.0f | %.0f | %.3f | %.0f | %.0f | %.3f%% |\n",
			p.name, p.basis, sampleName(p), strings.ToUpper(p.transport), today.rate, today.size, today.bytes, target.rate, target.size, target.bytes, 100*target.cpu)
	}
	today, err := sumCosts(parts, 9, r)
	if err != nil {
		return err
	}
	target, err := sumCosts(parts, targetHosts, r)
	if err != nil {
		return err
	}
	fmt.Fprintf(b, "| **sum** | | | %.1f | | **%.0f** | %.1f | | **%.0f** | **%.2f%%** |\n", today.rate, today.bytes, target.rate, target.bytes, 100*target.cpu)
	fmt.Fprintf(b, "| **of the limit** | | | | | **%.2f×** of 2,000 | | | **%.2f×** of 2,000 | **%.2f×** of 2.3%% |\n\n",
		today.bytes/limitBytes, target.bytes/limitBytes, target.cpu/limitCPU)
	return nil
}

// sampleName returns the names of the sample messages for the table, without the enclosing backquotes.
func sampleName(p trafficComponent) string {
	if p.smallFleetSample != "" {
		return p.sample + "`, at 9 `" + p.smallFleetSample
	}
	return p.sample
}

// benchmarkTable describes a table of benchmark results and the limit for them.
type benchmarkTable struct {
	title, label, unit string
	// scale converts values in unit to the unit in label.
	scale float64
	// limit is the largest accepted value, or the smallest one if atLeast is set. 0 means no limit.
	limit   float64
	atLeast bool
	names   []string
}

var indexSizes = []string{"blocks=63000", "blocks=210000", "blocks=630000"}

// benchmarkNames returns the name of the benchmark of each size.
func benchmarkNames(format string, sizes ...string) (names []string) {
	for _, size := range sizes {
		names = append(names, fmt.Sprintf(format, size))
	}
	return names
}

var benchmarkTables = []benchmarkTable{
	{"Index: memory", "MB", "B", 1e-6, 100, false, benchmarkNames("Load/%s", indexSizes...)},
	{"Index: time to load", "s", "sec/op", 1, 0, false, benchmarkNames("Load/%s", indexSizes...)},
	{"Index: decisions on one core, all blocks equally often", "million/s", "M-lookups/s", 1, 5, true, benchmarkNames("Rank/%s", indexSizes...)},
	{"Index: decisions on one core, blocks drawn by Zipf's law with exponent 1.1", "million/s", "M-lookups/s", 1, 5, true, benchmarkNames("RankSkewed/%s", indexSizes...)},
	{"Index: decisions on ten cores", "million/s", "M-lookups/s", 1, 0, true, benchmarkNames("Rank/%s-10", indexSizes...)},
	{"Index: decisions on one core while another publishes changes without a pause", "million/s", "M-lookups/s", 1, 0, true, benchmarkNames("RankDuringChanges/%s-2", indexSizes...)},
	{"Index: allocations of a decision", "allocations", "allocs/op", 1, 0, false, benchmarkNames("Rank/%s", indexSizes...)},
	{"Index: one changed block", "ms", "sec/op", 1e3, 1, false, benchmarkNames("Change/%s/kind=block", indexSizes...)},
	{"Index: one changed site", "ms", "sec/op", 1e3, 1, false, benchmarkNames("Change/%s/kind=site", indexSizes...)},
	{"Index: one plan of the headroom", "ms", "sec/op", 1e3, 0, false, benchmarkNames("Plan/%s", indexSizes...)},
	{"Tables of members and teams: memory", "MB", "B", 1e-6, 0, false, benchmarkNames("Tables/hosts=%s", "9", "90", "900", "4500")},
	{"Message and answer between hosts, both ends", "µs", "sec/op", 1e6, 0, false, benchmarkNames("Exchange/bytes=%s", "100", "400", "1600")},
}

// writeBenchmarkRow writes the mean, the range and the verdict of one benchmark.
func writeBenchmarkRow(b *strings.Builder, m benchmarkTable, name string, r benchmarkResults) error {
	values, err := r.values(name, m.unit)
	if err != nil {
		return err
	}
	mean, _ := r.mean(name, m.unit) // values found it
	limit, verdict := "", ""
	if m.limit > 0 {
		limit = fmt.Sprintf("at most %g", m.limit)
		withinLimit := mean*m.scale <= m.limit
		if m.atLeast {
			limit, withinLimit = fmt.Sprintf("at least %g", m.limit), mean*m.scale >= m.limit
		}
		verdict = "kept"
		if !withinLimit {
			verdict = fmt.Sprintf("missed by a factor of %.2f", math.Max(mean*m.scale/m.limit, m.limit/mean/m.scale))
		}
	}
	fmt.Fprintf(b, "| `Benchmark%s` | %.4g | %.4g to %.4g | %s | %s |\n",
		name, mean*m.scale, slices.Min(values)*m.scale, slices.Max(values)*m.scale, limit, verdict)
	return nil
}

// checkPage returns an error with the first line of the page's tables that differs from the computed tables.
func checkPage(page string, r benchmarkResults) (err error) {
	defer func() { err = errors.Wrap(err, "check docs/CAPACITY.md against docs/capacity-benchmarks.txt") }()
	_, rest, found := strings.Cut(page, tablesBegin)
	got, _, closed := strings.Cut(rest, tablesEnd)
	if !found || !closed {
		return errors.Newf("the markers %q and %q are missing", tablesBegin, tablesEnd)
	}
	want, err := renderTables(r)
	if err != nil {
		return err
	}
	gotLines, wantLines := strings.Split(strings.TrimSpace(got), "\n"), strings.Split(strings.TrimSpace(want), "\n")
	for i, line := range wantLines {
		if i >= len(gotLines) || gotLines[i] != line {
			return errors.Newf("line %d of the tables: want\n%s\ngot\n%s",
				i+1, line, strings.Join(gotLines[min(i, len(gotLines)):min(i+1, len(gotLines))], ""))
		}
	}
	if len(gotLines) != len(wantLines) {
		return errors.Newf("the tables have %d lines, want %d", len(gotLines), len(wantLines))
	}
	return nil
}
