// Package scrapers keeps the host's metrics and renders them in the text format that scrapers read.
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
	// reservoirSize and reservoirAlpha are the usual values of an exponentially decaying sample (last five minutes).
	reservoirSize  = 1028
	reservoirAlpha = 0.015
	// maxSeries bounds the number of series; further ones are counted under overflowLabel.
	maxSeries     = 4096
	overflowLabel = `overflow="true"`
	prefix        = "vanillatally_"
)

var quantiles = []float64{0.5, 0.9, 0.99, 0.999}

// Metrics holds the host's series.
type Metrics struct {
	registry metrics.Registry

	mu sync.RWMutex
	// series maps a name with labels to its metric; at most maxSeries entries.
	series map[seriesKey]any
}

// seriesKey avoids building the name of a series on the hot path.
type seriesKey struct{ name, team, route, extra string }

func (k seriesKey) labels() string {
	var labels []string
	for _, l := range []struct{ name, value string }{{"team", k.team}, {"route", k.route}} {
		if l.value != "" {
			labels = append(labels, l.name+"="+strconv.Quote(l.value))
		}
	}
	if k.extra != "" {
		labels = append(labels, k.extra)
	}
	return strings.Join(labels, ",")
}

// New returns an empty set of metrics.
func New() *Metrics {
	return &Metrics{registry: metrics.NewRegistry(), series: map[seriesKey]any{}}
}

// lookup returns the series of key and creates it at first use.
func lookup[Metric any](m *Metrics, key seriesKey, create func() Metric) Metric {
	m.mu.RLock()
	found, ok := m.series[key].(Metric)
	m.mu.RUnlock()
	if ok {
		return found
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.series) >= maxSeries {
		key = seriesKey{name: key.name, extra: overflowLabel}
	}
	if found, ok := m.series[key].(Metric); ok {
		return found
	}
	created := create()
	m.series[key] = created
	_ = m.registry.Register(key.name+"{"+key.labels()+"}", created)
	return created
}

// Count adds n to a counter; extra is a rendered label such as `reason="rate-exceeded"`.
func (m *Metrics) Count(name, team, route, extra string, n int64) {
	lookup(m, seriesKey{name, team, route, extra}, metrics.NewCounter).Inc(n)
}

// Observe adds a duration to a histogram in microseconds; part is queue, backend-server, own or total.
func (m *Metrics) Observe(name, team, route, part string, d time.Duration) {
	extra := ""
	if part != "" {
		extra = "part=" + strconv.Quote(part)
	}
	histogram := lookup(m, seriesKey{name, team, route, extra}, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, reservoirAlpha))
	})
	histogram.Update(d.Microseconds())
}

// Gauge registers a function that is read at each scrape.
func (m *Metrics) Gauge(name string, read func() float64) {
	_ = m.registry.Register(name+"{}", metrics.NewFunctionalGaugeFloat64(read))
}

// ServeHTTP renders all series.
func (m *Metrics) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	out := bufio.NewWriter(w)
	m.write(out)
	_ = out.Flush()
}

func (m *Metrics) write(out io.Writer) {
	all := map[string]any{}
	m.registry.Each(func(name string, metric any) { all[name] = metric })
	names := make([]string, 0, len(all))
	for name := range all {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, full := range names {
		name, labels, _ := strings.Cut(strings.TrimSuffix(full, "}"), "{")
		name = prefix + strings.ReplaceAll(name, "-", "_")
		switch metric := all[full].(type) {
		case metrics.Counter:
			fmt.Fprintf(out, "%s_total{%s} %d\n", name, labels, metric.Count())
		case metrics.GaugeFloat64:
			fmt.Fprintf(out, "%s %g\n", name, metric.Value())
		case metrics.Histogram:
			writeSummary(out, name+"_microseconds", labels, metric.Snapshot())
		}
	}
}

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
