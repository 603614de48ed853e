package main

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// The markers of the page between which the tables stand.
const (
	begin = "<!-- tables: go run ./cmd/capacity tables -->"
	end   = "<!-- end of tables -->"
)

// tables returns the page's tables as they follow from the recorded benchmarks.
func tables(r record) (text string, err error) {
	defer func() { err = errors.Wrap(err, "compute the page's tables") }()
	var b strings.Builder
	if err = summary(&b, r); err != nil {
		return "", err
	}
	for _, t := range []struct {
		title string
		parts []part
	}{{"Messages as designed", designed}, {"Messages with the proposed changes (projection)", changed}} {
		if err = messageTable(&b, t.title, t.parts, r); err != nil {
			return "", err
		}
	}
	if err = totalTables(&b, r); err != nil {
		return "", err
	}
	for _, m := range measures {
		fmt.Fprintf(&b, "### %s\n\n| benchmark | %s | spread | limit | |\n|---|---|---|---|---|\n", m.title, m.label)
		for _, name := range m.benchmarks {
			if err = measureRow(&b, m, name, r); err != nil {
				return "", err
			}
		}
		b.WriteString("\n")
	}
	if err = httpTable(&b, r); err != nil {
		return "", err
	}
	if err = lossTable(&b, r); err != nil {
		return "", err
	}
	return b.String(), nil
}

// httpTable compares look-ups with the constant handler by the means of their runs.
func httpTable(b *strings.Builder, r record) error {
	b.WriteString("### Look-up over HTTP against a constant handler\n\n| `BenchmarkHTTP` | look-up µs | constant µs | requests/s as a ratio | of the runs, in order | limit | |\n|---|---|---|---|---|---|---|\n")
	for _, size := range sizes {
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

// lossTable shows the comparison of ways to choose a site. Its runs have fixed seeds and one result each.
func lossTable(b *strings.Builder, r record) error {
	b.WriteString("### After a loss, at 60% use\n\n| sites | loss | way | clients moved beyond the lost ones | highest load/capacity before | after | clients without a site, worst instant |\n|---|---|---|---|---|---|---|\n")
	for _, sites := range []int{290, 967, 2900} {
		for _, loss := range losses {
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

func messageTable(b *strings.Builder, title string, parts []part, r record) error {
	fmt.Fprintf(b, "### %s\n\n| part | rate | sample `BenchmarkMessage/kind=` | messages/s at 9 | bytes each | B/s at 9 | messages/s at 4,500 | bytes each | B/s at 4,500 | CPU at 4,500 |\n|---|---|---|---|---|---|---|---|---|---|\n", title)
	for _, p := range parts {
		today, err := p.at(9, r)
		if err != nil {
			return err
		}
		target, err := p.at(targetNodes, r)
		if err != nil {
			return err
		}
		fmt.Fprintf(b, "| %s | %s | `%s` over %s | %.3f | %.0f | %.0f | %.3f | %.0f | %.0f | %.3f%% |\n",
			p.name, p.basis, sampleName(p), strings.ToUpper(p.transport), today.rate, today.size, today.bytes, target.rate, target.size, target.bytes, 100*target.cpu)
	}
	today, err := sum(parts, 9, r)
	if err != nil {
		return err
	}
	target, err := sum(parts, targetNodes, r)
	if err != nil {
		return err
	}
	fmt.Fprintf(b, "| **sum** | | | %.1f | | **%.0f** | %.1f | | **%.0f** | **%.2f%%** |\n", today.rate, today.bytes, target.rate, target.bytes, 100*target.cpu)
	fmt.Fprintf(b, "| **of the limit** | | | | | **%.2f×** of 2,000 | | | **%.2f×** of 2,000 | **%.2f×** of 2.3%% |\n\n",
		today.bytes/limitBytes, target.bytes/limitBytes, target.cpu/limitCPU)
	return nil
}

func sampleName(p part) string {
	if p.small != "" {
		return p.sample + "`, at 9 `" + p.small
	}
	return p.sample
}

// measure is a table of benchmark results with their limit.
type measure struct {
	title, label, unit string
	// scale converts the recorded unit to the label's.
	scale float64
	// limit is the largest value, or the smallest if atLeast. 0 means none.
	limit      float64
	atLeast    bool
	benchmarks []string
}

var sizes = []string{"blocks=63000", "blocks=210000", "blocks=630000"}

func named(format string, sizes ...string) (names []string) {
	for _, size := range sizes {
		names = append(names, fmt.Sprintf(format, size))
	}
	return names
}

var measures = []measure{
	{"Index: memory", "MB", "B", 1e-6, 100, false, named("Load/%s", sizes...)},
	{"Index: time to load", "s", "sec/op", 1, 0, false, named("Load/%s", sizes...)},
	{"Index: decisions on one core, all blocks equally often", "million/s", "M-lookups/s", 1, 5, true, named("Rank/%s", sizes...)},
	{"Index: decisions on one core, blocks drawn by Zipf's law with exponent 1.1", "million/s", "M-lookups/s", 1, 5, true, named("RankSkewed/%s", sizes...)},
	{"Index: decisions on ten cores", "million/s", "M-lookups/s", 1, 0, true, named("Rank/%s-10", sizes...)},
	{"Index: decisions on one core while another publishes changes without a pause", "million/s", "M-lookups/s", 1, 0, true, named("RankDuringChanges/%s-2", sizes...)},
	{"Index: allocations of a decision", "allocations", "allocs/op", 1, 0, false, named("Rank/%s", sizes...)},
	{"Index: one changed block", "ms", "sec/op", 1e3, 1, false, named("Change/%s/kind=block", sizes...)},
	{"Index: one changed site", "ms", "sec/op", 1e3, 1, false, named("Change/%s/kind=site", sizes...)},
	{"Index: one plan of the headroom", "ms", "sec/op", 1e3, 0, false, named("Plan/%s", sizes...)},
	{"Tables of members and teams: memory", "MB", "B", 1e-6, 0, false, named("Tables/hosts=%s", "9", "90", "900", "4500")},
	{"Message and answer between hosts, both ends", "µs", "sec/op", 1e6, 0, false, named("Exchange/bytes=%s", "100", "400", "1600")},
}

func measureRow(b *strings.Builder, m measure, name string, r record) error {
	values, err := r.values(name, m.unit)
	if err != nil {
		return err
	}
	mean, _ := r.mean(name, m.unit) // values found it
	limit, verdict := "", ""
	if m.limit > 0 {
		limit = fmt.Sprintf("at most %g", m.limit)
		kept := mean*m.scale <= m.limit
		if m.atLeast {
			limit, kept = fmt.Sprintf("at least %g", m.limit), mean*m.scale >= m.limit
		}
		verdict = "kept"
		if !kept {
			verdict = fmt.Sprintf("missed by a factor of %.2f", math.Max(mean*m.scale/m.limit, m.limit/mean/m.scale))
		}
	}
	fmt.Fprintf(b, "| `Benchmark%s` | %.4g | %.4g to %.4g | %s | %s |\n", name, mean*m.scale, slices.Min(values)*m.scale, slices.Max(values)*m.scale, limit, verdict)
	return nil
}

// check returns an error that names the first line of the page's tables that does not follow from the record.
func check(page string, r record) (err error) {
	defer func() { err = errors.Wrap(err, "check docs/CAPACITY.md against docs/capacity-benchmarks.txt") }()
	_, rest, found := strings.Cut(page, begin)
	got, _, closed := strings.Cut(rest, end)
	if !found || !closed {
		return errors.Newf("the markers %q and %q are missing", begin, end)
	}
	want, err := tables(r)
	if err != nil {
		return err
	}
	gotLines, wantLines := strings.Split(strings.TrimSpace(got), "\n"), strings.Split(strings.TrimSpace(want), "\n")
	for i, line := range wantLines {
		if i >= len(gotLines) || gotLines[i] != line {
			return errors.Newf("line %d of the tables should be\n%s\nbut is\n%s", i+1, line, strings.Join(gotLines[min(i, len(gotLines)):min(i+1, len(gotLines))], ""))
		}
	}
	if len(gotLines) != len(wantLines) {
		return errors.Newf("the tables have %d lines, should have %d", len(gotLines), len(wantLines))
	}
	return nil
}
