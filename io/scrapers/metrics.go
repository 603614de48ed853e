// Package scrapers keeps the host's metrics and serves them in the Prometheus text exposition format.
package scrapers

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// reservoirSize and reservoirAlpha are the usual parameters of an exponentially decaying reservoir, whose values come
	// mostly from the last five minutes.
	reservoirSize  = 1028
	reservoirAlpha = 0.015
	// maxSeries limits the number of time series and thus the memory; updates of further ones go to a series of the same
	// name with only overflowLabel.
	maxSeries     = 4096
	overflowLabel = `overflow="true"`
	prefix        = "vanillatally_"
)

var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Metrics holds the time series of the host.
type Metrics struct {
	registry metrics.Registry

	mu sync.RWMutex
	// series maps a name with labels to its metric. It has at most maxSeries entries, plus one overflow entry per name.
	series map[seriesKey]any
}

// seriesKey identifies a time series. As a map key it saves building the full name of the series for each update.
// label is an additional label in rendered form, or empty.
type seriesKey struct{ name, team, route, label string }

// labels renders the labels in the text format.
func (k seriesKey) labels() string {
	var labels []string
	for _, l := range []struct{ name, value string }{{"team", k.team}, {"route", k.route}} {
		if l.value != "" {
			labels = append(labels, l.name+"="+strconv.Quote(l.value))
		}
	}
	if k.label != "" {
		labels = append(labels, k.label)
	}
	return strings.Join(labels, ",")
}

// New returns Metrics without any time series.
func New() *Metrics {
	return &Metrics{registry: metrics.NewRegistry(), series: map[seriesKey]any{}}
}

// getOrCreate returns the metric of key and creates it at the first use.
func getOrCreate[Metric any](m *Metrics, key seriesKey, create func() Metric) Metric {
	m.mu.RLock()
	found, ok := m.series[key].(Metric)
	m.mu.RUnlock()
	if ok {
		return found
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.series) >= maxSeries {
		key = seriesKey{name: key.name, label: overflowLabel}
	}
	if found, ok := m.series[key].(Metric); ok {
		return found
	}
	created := create()
	m.series[key] = created
	_ = m.registry.Register(key.name+"{"+key.labels()+"}", created)
	return created
}

// Count adds n to a counter. label is a rendered label such as `reason="rate-exceeded"`, or empty.
func (m *Metrics) Count(name, team, route, label string, n int64) {
	getOrCreate(m, seriesKey{name, team, route, label}, metrics.NewCounter).Inc(n)
}

// Observe adds a duration to a histogram in microseconds. part is the part of a request's time that was measured: queue,
// backend-server, own or total. It becomes a label unless it is empty.
func (m *Metrics) Observe(name, team, route, part string, d time.Duration) {
	label := ""
	if part != "" {
		label = "part=" + strconv.Quote(part)
	}
	histogram := getOrCreate(m, seriesKey{name, team, route, label}, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	})
	histogram.Update(d.Microseconds())
}

// Gauge registers a function that returns the value of a gauge and is called at each scrape.
func (m *Metrics) Gauge(name string, read func() float64) {
	_ = m.registry.Register(name+"{}", metrics.NewFunctionalGaugeFloat64(read))
}

// ServeHTTP serves all metrics in the Prometheus text format.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	out := bufio.NewWriter(w)
	m.write(out)
	_ = out.Flush()
}

// write renders the metrics in the order of their names. Hyphens in names become underscores.
func (m *Metrics) write(out io.Writer) {
	metricsByName := map[string]any{}
	m.registry.Each(func(name string, metric any) { metricsByName[name] = metric })
	names := make([]string, 0, len(metricsByName))
	for name := range metricsByName {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, fullName := range names {
		name, labels, _ := strings.Cut(strings.TrimSuffix(fullName, "}"), "{")
		name = prefix + strings.ReplaceAll(name, "-", "_")
		switch metric := metricsByName[fullName].(type) {
		case metrics.Counter:
			fmt.Fprintf(out, "%s_total{%s} %d\n", name, labels, metric.Count())
		case metrics.GaugeFloat64:
			fmt.Fprintf(out, "%s %g\n", name, metric.Value())
		case metrics.Histogram:
			writeSummary(out, name+"_microseconds", labels, metric.Snapshot())
		}
	}
}

// writeSummary renders a histogram as a summary: its quantiles, sum and count.
func writeSummary(out io.Writer, name, labels string, snapshot metrics.Histogram) {
	separator := ""
	if labels != "" {
		separator = ","
	}
	for i, value := range snapshot.Percentiles(quantiles) {
		fmt.Fprintf(out, "%s{%s%squantile=\"%g\"} %g\n", name, labels, separator, quantiles[i], value)
	}
	fmt.Fprintf(out, "%s_sum{%s} %d\n", name, labels, snapshot.Sum())
	fmt.Fprintf(out, "%s_count{%s} %d\n", name, labels, snapshot.Count())
}
