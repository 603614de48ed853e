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

// envelope encloses every message between hosts, as defined in section 5 of the design page.
type envelope struct {
	Version int             `cbor:"v"`
	Kind    string          `cbor:"kind"`
	ID      uint64          `cbor:"id,omitempty"`
	ReplyTo uint64          `cbor:"reply-to,omitempty"`
	Body    cbor.RawMessage `cbor:"body"`
}

// sampleMessage is a message with realistic contents. Its names and fields follow section 4 of the design page, since the
// samples are older than the messages that hosts really send.
type sampleMessage struct {
	kind string
	// sizes are the numbers of entries (for claims, of bytes) with which the message is measured.
	sizes []int
	// body returns a body with n entries.
	body func(n int) any
}

type object = map[string]any

var sampleMessages = []sampleMessage{
	{"heartbeat", []int{0, 1, 8}, func(n int) any {
		return object{
			"incarnation": uint64(1796360968123), "sequence": uint64(18980031),
			"ledger-epoch": uint64(183230), "updates": sampleMembers(n),
		}
	}},
	{"membership-update", []int{1, 2, 8}, func(n int) any { return object{"updates": sampleMembers(n)} }},
	{"config-change", []int{1, 4, 16}, func(n int) any { return sampleChange(n) }},
	{"freshness", []int{1, 2, 4}, func(n int) any {
		var list []any
		for i := range n {
			list = append(list, object{
				"region": fmt.Sprintf("region-%02d", i), "sequence": uint64(18980031),
				"asked-ms": uint64(86399123), "store": "reachable",
			})
		}
		return object{"statements": list}
	}},
	{"lease-renew", []int{1, 2, 4}, func(n int) any {
		var list []any
		for i := range n {
			list = append(list, object{"host": hostName(i), "incarnation": uint64(183000 + i), "sent-ms": uint64(86399123)})
		}
		return object{"leases": list}
	}},
	{"loan", []int{1, 8, 64}, func(n int) any {
		var list []any
		for i := range n {
			list = append(list, object{"team": teamName(i), "tokens": 12.5, "loan": uint64(86399123000 + i)})
		}
		return object{"sent-ms": uint64(86399123), "loans": list}
	}},
	{"permit", []int{1, 8, 64}, func(n int) any {
		var list []any
		for i := range n {
			list = append(list, object{"server": fmt.Sprintf("search-%04d", i), "permits": 2, "waiting": 1})
		}
		return object{"sent-ms": uint64(86399123), "servers": list}
	}},
	{"claim-begin", []int{16, 36, 128}, func(n int) any {
		return claim.Request{Team: teamName(1), Key: hexDigits128(n)[:n], Fingerprint: 0x9e3779b97f4a7c15}
	}},
	{"claim-finish", []int{256, 1024, 4096}, func(n int) any {
		return object{
			"request": claim.Request{Team: teamName(1), Key: hexDigits128(1)[:36], Fingerprint: 0x9e3779b97f4a7c15},
			"result": claim.Result{
				Status: 201, Header: map[string][]string{"Content-Type": {"application/json"}}, Body: make([]byte, n),
			},
		}
	}},
	{"evidence", []int{1, 4, 16}, func(n int) any {
		var list []any
		for i := range n {
			list = append(list, object{
				"route": fmt.Sprintf("search-%d", i), "version": "2026-12-04.1", "requests": 1800 + i, "failed": 2,
				"latency-sum-us": 9123456, "latency-square-sum": 4.6e10,
			})
		}
		return object{"rollout": "search-december", "counts": list}
	}},
	{"load-classes", []int{290, 967, 2900}, func(n int) any {
		// 4 bits per site: sixteen classes of the ratio of load to capacity.
		return object{"sequence": uint64(17280), "classes": make([]byte, (n+1)/2)}
	}},
	// The compact samples have arrays instead of maps and no envelope. They show what the changes that the capacity page
	// proposes would save.
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

func hostName(i int) string     { return fmt.Sprintf("host-%04d", i) }
func teamName(i int) string     { return fmt.Sprintf("team-%04d", i) }
func hexDigits128(i int) string { return hexDigits64(i) + hexDigits64(i+1) }
func hexDigits64(i int) string {
	h := sha256.Sum256([]byte(hostName(i)))
	return hex.EncodeToString(h[:])
}
func address(i, port int) string { return fmt.Sprintf("10.%d.%d.17:%d", i>>8&255, i&255, port) }
func domainName(i int) string    { return fmt.Sprintf("domain-%02d", i%targetDomains) }
func regionName(i int) string    { return fmt.Sprintf("region-%02d", i%targetDomains%targetRegions) }

func sampleMembers(n int) []membership.Member {
	var list []membership.Member
	for i := range n {
		list = append(list, membership.Member{
			Host: hostName(i), Incarnation: 1796360968123, Region: regionName(i), FailureDomain: domainName(i),
			PeerAddress: address(i, 7000), CallerAddress: address(i, 8080), State: membership.Suspected,
		})
	}
	return list
}

// sampleChange returns a change of the rates of n teams, the most frequent kind of change. Each team has one key and two
// routes of its own.
func sampleChange(n int) config.Change {
	c := config.Change{Sequence: 18980031, ChangeID: hexDigits128(1)[:32]}
	rate := 250.0
	for i := range n {
		document, _ := json.Marshal(config.Team{
			Template: "standard", Rate: &rate, Keys: []string{hexDigits64(i)}, Routes: []string{"search", "calendars"},
		}) // cannot fail: the fields are plain values
		c.Edits = append(c.Edits, config.Edit{Kind: "teams", Name: teamName(i), Document: document})
	}
	return c
}

// encode returns the encoded message with n entries, without the framing of the transport. Compact samples have no
// envelope.
func (s sampleMessage) encode(n int) ([]byte, error) {
	body, err := cbor.Marshal(s.body(n))
	if err != nil || len(s.kind) > 8 && s.kind[:8] == "compact-" {
		return body, err
	}
	return cbor.Marshal(envelope{Version: 1, Kind: s.kind, ID: 86399123, Body: body})
}

// Header sizes in bytes, for IPv4 without options and TCP with the timestamps that Linux sends; maxSegment is the payload
// that then fits into an Ethernet frame.
const (
	headerIP   = 20
	headerTCP  = 32
	headerUDP  = 8
	maxSegment = 1448
)

// tcpWireBytes returns the bytes on the wire for a message of n bytes over WebSocket: the frame, the headers of its TCP
// segments, and an acknowledgement for every second segment. The frame contains half of the 4-byte mask, since only one
// of the two directions is masked.
func tcpWireBytes(n int) int {
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

// udpWireBytes returns the bytes on the wire for a message of n bytes in UDP datagrams.
func udpWireBytes(n int) int {
	datagrams := max(1, (n+maxSegment-1)/maxSegment)
	return n + datagrams*(headerIP+headerUDP)
}
