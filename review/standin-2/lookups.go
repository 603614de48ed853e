package main

import (
	"context"
	"fmt"
)

func init() {
	cases["lookup-heads"] = lookupHeads
}

// siteMachine is a machine of the site rutacomp-gslb.
var siteMachine = machine{memoryMB: 284, descriptors: 4100, cpuShare: 0.32}

// lookupHeads sends look-ups with long heads to the address for look-ups.
func lookupHeads(ctx context.Context, e *environment) (verdict, error) {
	return memoryCase(ctx, e, siteMachine, func(ctx context.Context, h *host) error {
		head := fmt.Sprintf("GET /v1/resolve?Name=%s&Region=%s&Zone=%s HTTP/1.1\r\nHost: x\r\n", hostName, zones[h.zone], h.zone)
		if e.trouble {
			return holdAll(ctx, e.record, h.lookup, 40, head+headerLines(1_000_000))
		}
		return holdAll(ctx, e.record, h.lookup, 40, head+"Connection: close\r\n\r\n")
	})
}
