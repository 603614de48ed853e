package entry

import (
	"math"
	"math/rand/v2"
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
		// The measured slowness depends on how long the response took; only the reported pace is checked here.
		s.slowness = 1
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

// The measured slowness of a server must leave out what its reported pace explains, and the usual service times must too, or
// the slow period counts twice and longer than it lasts.
func TestServiceTimesLeaveOutThePace(t *testing.T) {
	const warm, cold = 200e6, 600e6
	for _, c := range []struct {
		name                          string
		sticky                        bool
		took                          time.Duration
		pace, ratio, newWarm, newCold float64
	}{
		{"no pace", false, 500 * time.Millisecond, 1, 2.5, 230e6, 230e6},
		{"slow machine", false, 500 * time.Millisecond, 2.5, 1, 200e6, 200e6},
		{"recovered during the run", false, 300 * time.Millisecond, 2.5, 1, 200e6, 200e6},
		{"slow server on a slow machine", false, time.Second, 2.5, 2, 220e6, 220e6},
		{"fast run", false, 100 * time.Millisecond, 2.5, 0.5, 190e6, 190e6},
		{"warm run on a slow machine", true, 500 * time.Millisecond, 2.5, 1, 200e6, 600e6},
		{"cold run on a slow machine", true, 1500 * time.Millisecond, 2.5, 1, 200e6, 600e6},
		{"cold run", true, 600 * time.Millisecond, 1, 1, 200e6, 600e6},
	} {
		times := &routeServiceTimes{warm: warm, cold: cold, service: &meanServiceTime{mean: warm}}
		ratio := times.observe(c.sticky, c.took, c.pace)
		if math.Abs(ratio-c.ratio) > 1e-6 || math.Abs(times.warm-c.newWarm) > 1 || math.Abs(times.cold-c.newCold) > 1 {
			t.Errorf("%s: ratio %.2f, warm %.0f, cold %.0f", c.name, ratio, times.warm, times.cold)
		}
	}
}

// BenchmarkCandidates measures the description of 180 servers for one choice.
func BenchmarkCandidates(b *testing.B) {
	for _, c := range []struct {
		name    string
		percent int
	}{{"no-pace", 0}, {"pace-100", 100}, {"pace-250", 250}} {
		b.Run(c.name, func(b *testing.B) {
			servers := newPaceHosts(1, 180)[0].known
			for _, s := range servers {
				s.recordLoad(time.Second, 0, loadReport{running: 1, pacePercent: c.percent})
			}
			for b.Loop() {
				for _, s := range servers {
					_ = s.candidate(time.Second+100*time.Millisecond, 1, usualWork)
				}
			}
		})
	}
}

// When all hosts learn at the same time that one server is fast, they must not send all their requests to it, whether they know
// the other servers' reports or not. If they know them, all servers report that they are idle, so that only the pace differs.
func TestFastReportAttractsNoHerd(t *testing.T) {
	const hosts, servers, fast, at, requests = 68, 180, 7, 4 * time.Second, 10 * 180
	for _, allKnown := range []bool{false, true} {
		for _, percent := range []int{10, 40, 100} {
			random, all := rand.New(rand.NewPCG(1, 3)), newPaceHosts(hosts, servers)
			for i, h := range all {
				for s, known := range h.known {
					report := loadReport{pacePercent: int(100 * trueFactor(at, s))}
					switch {
					case s == fast:
						report.pacePercent = percent
					case !allKnown && (s+i)%20 != 0:
						// The host has no report of this server.
						continue
					case !allKnown:
						report.running = 1 + s%3
					}
					known.recordLoad(at, 0, report)
				}
			}
			sent := make([]int, servers)
			for i := range requests {
				sent[all[i%hosts].choose(at, random).Index]++
			}
			if sent[fast] > 2*requests/servers {
				t.Errorf("%d%%, all known %v: the fast server got %d of %d requests", percent, allKnown, sent[fast], requests)
			}
		}
	}
}
