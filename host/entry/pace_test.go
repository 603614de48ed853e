package entry

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// A malformed report must not change what is known of a server, and a report without a pace must count as before.
func TestParseLoadReport(t *testing.T) {
	for _, c := range []struct {
		header  string
		want    loadReport
		invalid invalidPart
	}{
		{"1,2,4", loadReport{running: 1, waiting: 2, slots: 4}, ""},
		{" 1 , 2,4 ", loadReport{running: 1, waiting: 2, slots: 4}, ""},
		{"1,2,4,250", loadReport{running: 1, waiting: 2, slots: 4, pacePercent: 250}, ""},
		{"1, 2, 4, 10", loadReport{running: 1, waiting: 2, slots: 4, pacePercent: 10}, ""},
		{"1,2,4,10000", loadReport{running: 1, waiting: 2, slots: 4, pacePercent: 10_000}, ""},
		{"1,2,4,9", loadReport{running: 1, waiting: 2, slots: 4}, invalidPace},
		{"1,2,4,10001", loadReport{running: 1, waiting: 2, slots: 4}, invalidPace},
		{"", loadReport{}, invalidReport},
		{"1", loadReport{}, invalidReport},
		{"1,2", loadReport{}, invalidReport},
		{"1,2,4,100,5", loadReport{}, invalidReport},
		{"1,2,4,", loadReport{}, invalidReport},
		{"1,,4", loadReport{}, invalidReport},
		{"-1,2,4", loadReport{}, invalidReport},
		{"+1,2,4", loadReport{}, invalidReport},
		{"1,2,4,-100", loadReport{}, invalidReport},
		{"1.5,2,4", loadReport{}, invalidReport},
		{"1 2,3,4", loadReport{}, invalidReport},
		{"1,2,4,99999999999999999999", loadReport{}, invalidReport},
	} {
		if got, invalid := parseLoadReport(c.header); got != c.want || invalid != c.invalid {
			t.Errorf("%q: %+v, invalid part %q; want %+v, %q", c.header, got, invalid, c.want, c.invalid)
		}
	}
}

// The reported pace of a server must reach the choice of a server, and a malformed report must be counted and change nothing.
func TestReportedPaceReachesTheChoice(t *testing.T) {
	for _, c := range []struct {
		header       string
		slow         bool
		outstanding  float64
		invalidCount string
	}{
		{"3,0,4", false, 3, ""},
		{"3,0,4,250", true, 3, ""},
		{"3,0,4,5", false, 3, `invalid_load_reports_total{part="pace"} 1`},
		{"3,0,4,250,1", false, 0, `invalid_load_reports_total{part="report"} 1`},
		{"3,0,-4,250", false, 0, `invalid_load_reports_total{part="report"} 1`},
	} {
		h := newTestHost(t, newBackend(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Load", c.header)
			answerOK(w, r)
		}))
		if w := serve(h, "/read/1", "red-key"); w.Code != http.StatusOK {
			t.Fatalf("status %d", w.Code)
		}
		s := h.view.Load().services["search"][0]
		got := s.candidate(s.reportedAt, 0, time.Second)
		if slow := got.RelativeServiceTime > 1.2; slow != c.slow {
			t.Errorf("%q: relative service time %.2f", c.header, got.RelativeServiceTime)
		}
		if got.Outstanding != c.outstanding {
			t.Errorf("%q: %.1f outstanding", c.header, got.Outstanding)
		}
		scraped := httptest.NewRecorder()
		h.metrics.ServeHTTP(scraped, nil)
		if metrics := scraped.Body.String(); !strings.Contains(metrics, c.invalidCount) ||
			c.invalidCount == "" && strings.Contains(metrics, "invalid_load_reports") {
			t.Errorf("%q: no %q in the metrics", c.header, c.invalidCount)
		}
	}
}

// Hosts that know the servers' pace must answer sooner than hosts that only measure service times.
func TestReportedPaceShortensResponses(t *testing.T) {
	const hosts, seeds, load = 8, 3, 0.6
	var sums [2]time.Duration
	for i, reportsPace := range []bool{false, true} {
		for seed := range uint64(seeds) {
			f := newPaceFleet(seed, hosts, reportsPace)
			f.run(0, 3*time.Second, load)
			sums[i] += f.meanLatency()
		}
	}
	if sums[1] >= sums[0] {
		t.Errorf("mean time to the response %v with the pace, %v without", sums[1]/seeds, sums[0]/seeds)
	}
}

// BenchmarkCandidates measures the description of 180 servers for one choice.
func BenchmarkCandidates(b *testing.B) {
	for _, c := range []struct {
		name    string
		percent int
	}{{"no-pace", 0}, {"pace-100", 100}, {"pace-250", 250}} {
		b.Run(c.name, func(b *testing.B) {
			servers := newPaceFleet(1, 1, false).known[0]
			for _, s := range servers {
				s.recordLoad(time.Second, 0, loadReport{running: 1, pacePercent: c.percent})
			}
			for b.Loop() {
				for _, s := range servers {
					_ = s.candidate(time.Second+100*time.Millisecond, 1, simulatedWork)
				}
			}
		})
	}
}

// When all hosts hear at the same time that one server is fast, they must not send all their requests to it.
func TestFastReportAttractsNoHerd(t *testing.T) {
	const hosts = 68
	for _, percent := range []int{10, 40, 100} {
		f := newPaceFleet(1, hosts, true)
		const at = 500 * time.Millisecond
		f.run(0, at, 0.4)
		const fast = 7
		for host := range hosts {
			f.known[host][fast].recordLoad(at, 0, loadReport{pacePercent: percent})
		}
		sent := make([]int, simulatedServers)
		const requests = 20 * simulatedServers
		for i := range requests {
			sent[f.send(at, i%hosts)]++
		}
		if sent[fast] > 2*requests/simulatedServers {
			t.Errorf("%d%%: the fast server got %d of %d requests", percent, sent[fast], requests)
		}
	}
}
