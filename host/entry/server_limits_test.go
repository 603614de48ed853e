package entry

import (
	"bytes"
	"net/http"
	"strings"
	"testing"

	"vanillatally/core/throttle"
	"vanillatally/io/events"
)

// statedLimit returns the rate that the host has on record for server-a, or 0.
func statedLimit(h *Host) float64 {
	h.serverLimits.mu.Lock()
	defer h.serverLimits.mu.Unlock()
	entry := h.serverLimits.entries[h.listedServer("server-a").incarnation]
	if entry == nil {
		return 0
	}
	return entry.PerSecond
}

// Guards against a limit that is not recorded, that a malformed or absurd value replaces, and that a response of a proxy ends.
func TestStatedLimitIsRecorded(t *testing.T) {
	var log bytes.Buffer
	h := newTestHost(t, newBackend(t, answerOK))
	h.log = events.NewLog(&log, 0, "host-1")
	s := h.listedServer("server-a")
	for _, step := range []struct {
		name            string
		values          []string
		fromApplication bool
		want            float64
		// event is the number of the event that the step logs; 0 for none.
		event string
	}{
		{"no limit yet", nil, true, 0, ""},
		{"malformed without an earlier limit", []string{"many"}, true, 0, "720"},
		{"stated", []string{"1.8"}, true, 1.8, "718"},
		{"stated again", []string{"1.8"}, true, 1.8, ""},
		{"malformed", []string{"NaN"}, true, 1.8, "720"},
		{"two values", []string{"5", "6"}, true, 1.8, "720"},
		{"empty", []string{""}, true, 1.8, "720"},
		{"absent in a response of a proxy", nil, false, 1.8, ""},
		{"stated in a refusal", []string{"1.2"}, false, 1.2, "718"},
		{"zero", []string{"0"}, true, throttle.MinRate, "720"},
		{"absurdly high", []string{"1" + strings.Repeat("0", 30)}, true, throttle.MaxRate, "720"},
		{"ended", nil, true, 0, "719"},
	} {
		log.Reset()
		header := http.Header{}
		for _, value := range step.values {
			header.Add("Limit", value)
		}
		h.serverLimits.recordResponse(h.now(), s, header, step.fromApplication)
		if got := statedLimit(h); got != step.want {
			t.Errorf("%s: the limit is %v, want %v", step.name, got, step.want)
		}
		logged := log.String()
		if step.event == "" && logged != "" || step.event != "" && !strings.Contains(logged, `"event":`+step.event) {
			t.Errorf("%s: logged %q, want event %s", step.name, logged, step.event)
		}
	}
}
