package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func documents(t *testing.T) (page string, r record) {
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
	if r, err = readRecord(recorded, "capacity-benchmarks.txt"); err != nil {
		t.Fatal(err)
	}
	return string(content), r
}

// Guards against a page whose figures and sums do not follow from the recorded benchmarks.
func TestPageFollowsFromBenchmarks(t *testing.T) {
	page, r := documents(t)
	if err := check(page, r); err != nil {
		t.Error(err)
	}
}

// Guards against a check that passes a changed figure, in the page or in the record, or a lost benchmark.
func TestCheckFindsChangedFigures(t *testing.T) {
	page, r := documents(t)
	before, tables, _ := strings.Cut(page, begin)
	for _, digit := range []string{"1", "2", "7"} {
		at := strings.LastIndex(tables[:strings.Index(tables, end)], digit)
		if err := check(before+begin+tables[:at]+"9"+tables[at+1:], r); err == nil {
			t.Errorf("a changed %s in the page was not found", digit)
		}
	}
	for _, key := range []string{"Message/kind=heartbeat/entries=0 tcp-B", "Load/blocks=630000 B", "Rank/blocks=630000 M-lookups/s"} {
		old := r[key]
		r[key] = []float64{old[0] * 1.5}
		if check(page, r) == nil {
			t.Errorf("a changed %s was not found", key)
		}
		delete(r, key)
		if check(page, r) == nil {
			t.Errorf("a missing %s was not found", key)
		}
		r[key] = old
	}
}

// Guards against a plot that cannot be drawn from the recorded benchmarks.
func TestPlotIsDrawn(t *testing.T) {
	_, r := documents(t)
	file := filepath.Join(t.TempDir(), "capacity.svg")
	if err := draw(r, file); err != nil {
		t.Fatal(err)
	}
	if drawn, err := os.ReadFile(file); err != nil || !strings.Contains(string(drawn), "2 KB/s") {
		t.Errorf("the plot lacks the limit (%v)", err)
	}
}
