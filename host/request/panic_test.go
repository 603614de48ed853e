package request

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"vanillatally/core/claim"
	"vanillatally/io/backends"
)

// panickingWriter panics when the handler writes to it.
type panickingWriter struct{ http.ResponseWriter }

func (panickingWriter) WriteHeader(int) { panic("writer") }

// Guards against slots, permits, claims and trials that a request holds for ever after its handler has panicked.
func TestPanicReleasesWhatTheHandlerHolds(t *testing.T) {
	for _, c := range []struct {
		name, method, path, fault string
		prepare                   func(*Options)
	}{
		{"while the request is sent", "POST", "/hold", "", func(o *Options) {
			o.Backends.OnDial = func(string, time.Duration) { panic("dial") }
		}},
		{"while the response is written", "POST", "/hold", "", func(*Options) {}},
		{"while a long response is written", "POST", "/export", "", func(*Options) {}},
		{"while the response of a hedged attempt is written", "GET", "/search", backends.FaultSilent, func(*Options) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			claims := NewLocalClaims()
			f := newTestHost(t, 2, backends.StandInOptions{BodyBytes: 300 << 10}, func(o *Options) {
				shortTimeouts(o)
				o.Claims, o.InactivityTimeout = claims, time.Minute
				c.prepare(o)
			})
			if c.fault != "" {
				if err := f.standIns[0].SetFaults(backends.Fault{Kind: c.fault}); err != nil {
					t.Fatal(err)
				}
			}
			for i := range 8 {
				func() {
					defer func() {
						if recover() == nil {
							t.Error("the handler did not panic")
						}
					}()
					r := httptest.NewRequest(c.method, c.path, strings.NewReader("x"))
					r.Header.Set("Authorization", "Bearer "+testKey)
					r.Header.Set("Idempotency-Key", fmt.Sprint("key-", i))
					f.service.ServeHTTP(panickingWriter{httptest.NewRecorder()}, r)
				}()
			}
			if n := f.service.InFlight(); n != 0 {
				t.Errorf("%d requests are in flight at servers, want none", n)
			}
			for _, s := range f.service.pools.servers {
				if n := s.assigned.Load(); n != 0 {
					t.Errorf("%d requests are assigned to server %s, want none", n, s.ID)
				}
			}
			if n := f.service.limiters.forService("main").running; n != 0 {
				t.Errorf("%d requests count as running, want none", n)
			}
			for id, slots := range f.service.options.Permits.(*LocalPermits).slots {
				if n := len(slots); n != 0 {
					t.Errorf("%d permits of server %s are held, want none", n, id)
				}
			}
			for request, answer := range claims.claims {
				if answer.State == claim.Running {
					t.Errorf("claim %s is still running", request.Key)
				}
			}
		})
	}
}
