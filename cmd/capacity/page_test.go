package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// readDocuments returns the capacity page and the recorded benchmarks.
func readDocuments(t *testing.T) (page string, r benchmarkResults) {
	t.Helper()
	content, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	recorded, err := os.Open("../../docs/capacity-benchmarks.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer recorded.Close()
	if r, err = readResults(recorded, "capacity-benchmarks.txt"); err != nil {
		t.Fatal(err)
	}
	return string(content), r
}

// Guards against a page whose tables differ from those computed from the recorded benchmarks.
func TestPageFollowsFromBenchmarks(t *testing.T) {
	page, r := readDocuments(t)
	if err := checkPage(page, r); err != nil {
		t.Error(err)
	}
}

// Guards against a check that accepts a changed number in the page or in the benchmark results, or a missing result.
func TestCheckFindsChangedFigures(t *testing.T) {
	page, r := readDocuments(t)
	before, tables, _ := strings.Cut(page, tablesBegin)
	for _, digit := range []string{"1", "2", "7"} {
		index := strings.LastIndex(tables[:strings.Index(tables, tablesEnd)], digit)
		if err := checkPage(before+tablesBegin+tables[:index]+"9"+tables[index+1:], r); err == nil {
			t.Errorf("the check accepted a page with a changed digit %s", digit)
		}
	}
	for _, key := range []string{
		"Message/kind=heartbeat/entries=0 tcp-B", "Load/blocks=630000 B", "Rank/blocks=630000 M-lookups/s",
	} {
		old := r[key]
		r[key] = []float64{old[0] * 1.5}
		if checkPage(page, r) == nil {
			t.Errorf("the check accepted a changed result %s", key)
		}
		delete(r, key)
		if checkPage(page, r) == nil {
			t.Errorf("the check accepted a missing result %s", key)
		}
		r[key] = old
	}
}

// Guards against a plot that cannot be drawn from the recorded benchmarks.
func TestPlotIsDrawn(t *testing.T) {
	_, r := readDocuments(t)
	file := filepath.Join(t.TempDir(), "capacity.svg")
	if err := drawPlot(r, file); err != nil {
		t.Fatal(err)
	}
	if drawn, err := os.ReadFile(file); err != nil || !strings.Contains(string(drawn), "2 KB/s") {
		t.Errorf("the plot does not contain the limit (%v)", err)
	}
}
