package main

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"vanillatally/core/claim"
	"vanillatally/core/config"
	"vanillatally/core/membership"
)

// envelope is the frame of every message between hosts, as section 5 of the design page gives it.
type envelope struct {
	Version int             `cbor:"v"`
	Kind    string          `cbor:"kind"`
	ID      uint64          `cbor:"id,omitempty"`
	ReplyTo uint64          `cbor:"reply-to,omitempty"`
	Body    cbor.RawMessage `cbor:"body"`
}

// sample is a message with realistic contents. The running mechanisms' messages were not there when the samples were
// written; names and fields follow section 4 of the design page.
type sample struct {
	kind string
	// sizes are the numbers of entries that the message is measured with.
	sizes []int
	body  func(n int) any
}

type entries = map[string]any

var samples = []sample{
	{"heartbeat", []int{0, 1, 8}, func(n int) any {
		return entries{"incarnation": uint64(1796360968123), "sequence": uint64(18980031), "ledger-epoch": uint64(183230), "updates": members(n)}
	}},
	{"membership-update", []int{1, 2, 8}, func(n int) any { return entries{"updates": members(n)} }},
	{"config-change", []int{1, 4, 16}, func(n int) any { return change(n) }},
	{"freshness", []int{1, 2, 4}, func(n int) any {
		var list []any
		for i := range n {
			list = append(list, entries{"region": fmt.Sprintf("region-%02d", i), "sequence": uint64(18980031), "asked-ms": uint64(86399123), "store": "reachable"})
		}
		return entries{"statements": list}
	}},
	{"lease-renew", []int{1, 2, 4}, func(n int) any {
		var list []any
		for i := range n {
			list = append(list, entries{"host": host(i), "incarnation": uint64(183000 + i), "sent-ms": uint64(86399123)})
		}
		return entries{"leases": list}
	}},
	{"loan", []int{1, 8, 64}, func(n int) any {
		var list []any
		for i := range n {
			list = append(list, entries{"team": team(i), "tokens": 12.5, "loan": uint64(86399123000 + i)})
		}
		return entries{"sent-ms": uint64(86399123), "loans": list}
	}},
	{"permit", []int{1, 8, 64}, func(n int) any {
		var list []any
		for i := range n {
			list = append(list, entries{"server": fmt.Sprintf("search-%04d", i), "permits": 2, "waiting": 1})
		}
		return entries{"sent-ms": uint64(86399123), "servers": list}
	}},
	{"claim-begin", []int{16, 36, 128}, func(n int) any {
		return claim.Request{Team: team(1), Key: hexText(n)[:n], Fingerprint: 0x9e3779b97f4a7c15}
	}},
	{"claim-finish", []int{256, 1024, 4096}, func(n int) any {
		return entries{"request": claim.Request{Team: team(1), Key: hexText(1)[:36], Fingerprint: 0x9e3779b97f4a7c15}, "result": claim.Result{Status: 201, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, n)}}
	}},
	{"evidence", []int{1, 4, 16}, func(n int) any {
		var list []any
		for i := range n {
			list = append(list, entries{"route": fmt.Sprintf("search-%d", i), "version": "2026-12-04.1", "requests": 1800 + i, "failed": 2, "latency-sum-us": 9123456, "latency-square-sum": 4.6e10})
		}
		return entries{"rollout": "search-december", "counts": list}
	}},
	{"load-classes", []int{290, 967, 2900}, func(n int) any {
		// 4 bits per site: sixteen classes of load over capacity.
		return entries{"sequence": uint64(17280), "classes": make([]byte, (n+1)/2)}
	}},
	// The compact samples have integer keys and no envelope; they show what the proposed changes of the page save.
	{"compact-heartbeat", []int{0, 1, 8}, func(n int) any {
		var list []any
		for i := range n {
			list = append(list, []any{uint16(i), uint8(1), uint64(1796360968123)})
		}
		return []any{uint8(1), uint64(1796360968123), uint64(18980031), uint64(183230), uint64(0x9e3779b97f4a7c15), list}
	}},
	{"compact-evidence", []int{1, 4, 16}, func(n int) any {
		var list []any
		for i := range n {
			list = append(list, []any{uint32(0x9e3779b9 + i), uint32(1800), uint16(2), float32(9.1e6), float32(4.6e10)})
		}
		return []any{uint8(2), list}
	}},
	{"compact-freshness", []int{1, 2, 4}, func(n int) any {
		var list []any
		for i := range n {
			list = append(list, []any{uint8(i), uint64(18980031), uint32(86399123)})
		}
		return []any{uint8(3), list}
	}},
	{"compact-loan", []int{1, 8, 64}, func(n int) any {
		var list []any
		for i := range n {
			list = append(list, []any{uint32(0x9e3779b9 + i), float32(12.5), uint32(86399123 + i)})
		}
		return []any{uint8(4), uint32(86399123), list}
	}},
}

func host(i int) string     { return fmt.Sprintf("host-%04d", i) }
func team(i int) string     { return fmt.Sprintf("team-%04d", i) }
func hexText(i int) string  { return hexBytes(i) + hexBytes(i+1) }
func hexBytes(i int) string { h := sha256.Sum256([]byte(host(i))); return hex.EncodeToString(h[:]) }
func addr(i, p int) string  { return fmt.Sprintf("10.%d.%d.17:%d", i>>8&255, i&255, p) }
func domain(i int) string   { return fmt.Sprintf("domain-%02d", i%targetDomains) }
func regionOf(i int) string { return fmt.Sprintf("region-%02d", i%targetDomains%targetRegions) }

func members(n int) []membership.Member {
	var list []membership.Member
	for i := range n {
		list = append(list, membership.Member{
			Host: host(i), Incarnation: 1796360968123, Region: regionOf(i), FailureDomain: domain(i),
			PeerAddress: addr(i, 7000), CallerAddress: addr(i, 8080), State: membership.Suspected,
		})
	}
	return list
}

// change edits one team's rate, which is the most usual change, with a key and two routes of its own.
func change(n int) config.Change {
	c := config.Change{Sequence: 18980031, ChangeID: hexText(1)[:32]}
	rate := 250.0
	for i := range n {
		document, _ := json.Marshal(config.Team{Template: "standard", Rate: &rate, Keys: []string{hexBytes(i)}, Routes: []string{"search", "calendars"}}) // plain fields always encode
		c.Edits = append(c.Edits, config.Edit{Kind: "teams", Name: team(i), Document: document})
	}
	return c
}

// encode returns the message as it is sent, without framing. Compact samples have no envelope.
func (s sample) encode(n int) ([]byte, error) {
	body, err := cbor.Marshal(s.body(n))
	if err != nil || len(s.kind) > 8 && s.kind[:8] == "compact-" {
		return body, err
	}
	return cbor.Marshal(envelope{Version: 1, Kind: s.kind, ID: 86399123, Body: body})
}

// Header sizes in bytes: IPv4 without options; TCP with the timestamps that Linux sends.
const (
	headerIP   = 20
	headerTCP  = 32
	headerUDP  = 8
	maxSegment = 1448
)

// wireTCP returns the bytes that a message of n bytes costs either end over WebSocket: the frame with half a mask,
// since one of the two directions masks, the segments, and an acknowledgement for each second segment.
func wireTCP(n int) int {
	frame := n + 2 + 2
	if n > 125 {
		frame += 2
	}
	if n > 65535 {
		frame += 6
	}
	segments := (frame + maxSegment - 1) / maxSegment
	return frame + (segments+(segments+1)/2)*(headerIP+headerTCP)
}

// wireUDP returns the bytes that a message of n bytes costs either end as datagrams.
func wireUDP(n int) int {
	datagrams := max(1, (n+maxSegment-1)/maxSegment)
	return n + datagrams*(headerIP+headerUDP)
}
