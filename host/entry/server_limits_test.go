package entry

import (
	"bytes"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"vanillatally/core/throttle"
	"vanillatally/io/datagrams"
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

// Guards against hosts of an earlier version that drop all packets, and against packets of a later version that are dropped.
func TestPacketsOfOtherVersionsAreDecoded(t *testing.T) {
	type earlierPacket struct {
		_             struct{} `cbor:",toarray"`
		HostHeartbeat *Heartbeat
		DomainSummary *DomainSummary
		DemandPart    *DemandPart
		Rollout       *RolloutMessage
	}
	heartbeat := &Heartbeat{Host: "host-2", FailureDomain: "north-a"}
	encoded, err := cbor.Marshal(Packet{HostHeartbeat: heartbeat})
	if err != nil {
		t.Fatal(err)
	}
	var earlier earlierPacket
	if err := cbor.Unmarshal(encoded, &earlier); err != nil || earlier.HostHeartbeat == nil || earlier.HostHeartbeat.Host != "host-2" {
		t.Errorf("an earlier version decodes %+v, %v", earlier, err)
	}
	encoded, err = cbor.Marshal([]any{nil, nil, nil, nil, &ServerNotices{Limits: []ServerLimit{{Server: 7}}}, nil, "new field"})
	if err != nil {
		t.Fatal(err)
	}
	var packet Packet
	if err := cbor.Unmarshal(encoded, &packet); err != nil || packet.ServerNotices == nil || packet.ServerNotices.Limits[0].Server != 7 {
		t.Errorf("a packet of a later version is decoded as %+v, %v", packet, err)
	}
}

// Guards against messages that do not fit a datagram.
func TestServerNoticesFitDatagram(t *testing.T) {
	message := &ServerNotices{Origin: Origin{
		FailureDomain: strings.Repeat("d", 64), Host: strings.Repeat("h", 64), Started: math.MaxInt64, Number: math.MaxUint64,
	}}
	for range noticesPerMessage {
		message.Limits = append(message.Limits, ServerLimit{
			Server: math.MaxUint32, Started: math.MaxInt64, Rate: math.MaxUint32, AgeMS: math.MaxUint32,
		})
	}
	encoded, err := cbor.Marshal(Packet{ServerNotices: message})
	if err != nil || len(encoded) > datagrams.MaxMessageBytes {
		t.Errorf("the longest message has %d bytes, want at most %d (%v)", len(encoded), datagrams.MaxMessageBytes, err)
	}
}

// Guards against limits from other hosts that are malformed, too old, or older than what this host knows itself.
func TestLimitsOfOtherHostsAreChecked(t *testing.T) {
	h := newTestHost(t, newBackend(t, answerOK))
	key := h.listedServer("server-a").incarnation
	receive := func(rate, ageMS uint32) {
		h.fleet.receive(netip.MustParseAddrPort("10.0.0.9:7000"), Packet{ServerNotices: &ServerNotices{
			Origin: Origin{FailureDomain: "north-a", Host: "host-2"},
			Limits: []ServerLimit{{Server: key.server, Started: key.started, Rate: rate, AgeMS: ageMS}},
		}})
	}
	for _, step := range []struct {
		name        string
		rate, ageMS uint32
		want        float64
	}{
		{"ended without a limit", 0, 0, 0},
		{"absurdly high", math.MaxUint32, 0, 0},
		{"absurdly low", 1, 0, 0},
		{"absurdly old", 2000, math.MaxUint32, 0},
		{"stated", 2000, 0, 2},
		{"older", 3000, 10_000, 2},
		{"ended", 0, 0, 0},
		{"stated before the end", 2000, 5000, 0},
	} {
		receive(step.rate, step.ageMS)
		if got := statedLimit(h); got != step.want {
			t.Errorf("%s: the limit is %v, want %v", step.name, got, step.want)
		}
	}
}

// Guards against limits that the hosts of other failure domains and regions do not learn, and against an end that they miss.
func TestFleetLearnsLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 45, 0)
		defer f.stop()
		f.sendRequests(8*time.Second, 1)
		key := incarnation{server: 7, started: 8}
		knowing := func(perSecond float64) (n int) {
			for _, h := range f.running {
				h.serverLimits.mu.Lock()
				if entry := h.serverLimits.entries[key]; entry != nil && entry.PerSecond == perSecond {
					n++
				}
				h.serverLimits.mu.Unlock()
			}
			return n
		}
		for _, rate := range []float64{1.8, 0.5, 0} {
			h := f.running[40]
			h.serverLimits.record(h.now(), key, throttle.Statement{PerSecond: rate, At: h.now()}, fromResponse)
			time.Sleep(3500 * time.Millisecond)
			if got := knowing(rate); got != len(f.running) {
				t.Errorf("%d of %d hosts know the limit of %v/s", got, len(f.running), rate)
			}
		}
	})
}

// Guards against memory that grows with the servers that ever stated a limit, and against a wrong number of limits in force.
func TestServerLimitsAreBounded(t *testing.T) {
	h := newTestHost(t, newBackend(t, answerOK))
	l := &h.serverLimits
	for i := range maxServerLimits + 10 {
		l.record(0, incarnation{server: uint32(i)}, throttle.Statement{PerSecond: 1, At: time.Duration(i + 1)}, fromResponse)
	}
	if len(l.entries) != maxServerLimits || l.limited.Load() != maxServerLimits || l.entries[incarnation{server: 5}] != nil {
		t.Errorf("%d servers and %d limits are remembered, want the newest %d", len(l.entries), l.limited.Load(), maxServerLimits)
	}
	l.maintain(2 * forgetStatementAfter)
	if len(l.entries) != 0 || l.limited.Load() != 0 {
		t.Errorf("%d servers and %d limits are remembered after %v", len(l.entries), l.limited.Load(), 2*forgetStatementAfter)
	}
}

// Guards against hosts that disagree on who may use a limit, so that its parts add up to more than the limit or to nothing,
// also after a host has died.
func TestFleetAgreesOnPartsOfLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 45, 0)
		defer f.stop()
		f.sendRequests(8*time.Second, 1)
		check := func(when string) {
			for i := range 60 {
				s := &server{hash: uint64(i) * 7919}
				s.FailureDomain = fmt.Sprint("domain-", i%9)
				s.Region = fmt.Sprint("region-", i%3)
				limit := []float64{0.5, 1.8, 6, 40}[i%4]
				sum := 0.0
				for _, h := range f.running {
					rank, preferred := h.fleet.rankForServer(h.now(), s)
					sum += throttle.Part(limit, rank, preferred, 0)
				}
				if math.Abs(sum-limit) > 1e-6 {
					t.Errorf("%s: the parts of server %d sum to %v, want %v", when, i, sum, limit)
				}
			}
		}
		check("while all hosts run")
		for range 3 {
			f.kill(f.running[0])
		}
		f.sendRequests(5*time.Second, 1)
		check("after three hosts died")
	})
}

// Guards against a host that learns of limits only from its own requests after a restart, also as the only one of its domain.
func TestRestartedHostIsToldLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 9, 0)
		defer f.stop()
		f.sendRequests(8*time.Second, 1)
		key := incarnation{server: 7, started: 8}
		teller := f.running[4]
		teller.serverLimits.record(teller.now(), key, throttle.Statement{PerSecond: 1.8, At: teller.now()}, fromResponse)
		time.Sleep(4 * time.Second)
		killed := f.running[1]
		f.kill(killed)
		time.Sleep(time.Second)
		again := New(Options{Settings: killed.settings, Log: events.NewLog(io.Discard, 0, "again")})
		f.running = append(f.running, again)
		f.start(again)
		for _, seed := range f.running[:3] {
			again.AddPeerAddress(seed.settings.PeerAddress, "")
		}
		time.Sleep(500 * time.Millisecond)
		if again.serverLimits.limited.Load() != 1 {
			t.Error("the restarted host does not know the limit")
		}
	})
}
