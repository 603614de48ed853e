package scrapers

import (
	"fmt"
	"net/http/httptest"
	"os"
	"testing"
	"time"
)

// Guards against a change of the output that scrapers and dashboards rely on: order, names, labels and quantiles.
func TestRenderedMetrics(t *testing.T) {
	m := New()
	m.Count("requests", "alpha", "search", `ran="yes"`, 3)
	for i := 1; i <= 100; i++ {
		m.Observe("request-time", "alpha", "search", "queue", time.Duration(i)*time.Millisecond)
	}
	m.Gauge("configuration-sequence", func() float64 { return 7 })
	recorder := httptest.NewRecorder()
	m.ServeHTTP(recorder, nil)
	want, err := os.ReadFile("testdata/rendered/expected-output.txt")
	if err != nil {
		t.Fatal(err)
	}
	if got := recorder.Body.String(); got != string(want) {
		t.Errorf("got:\n%s\nwant:\n%s", got, want)
	}
}

// Guards against memory use that grows without bound with the number of label values.
func TestSeriesAreBounded(t *testing.T) {
	m := New()
	for i := range maxSeries + 100 {
		m.Count("requests", fmt.Sprint(i), "", "", 1)
	}
	if len(m.series) > maxSeries+1 {
		t.Errorf("%d time series, want at most %d", len(m.series), maxSeries+1)
	}
}
