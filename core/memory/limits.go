package memory

import "time"

const (
	// baseBytes is reserved for what a host needs beside bodies and connections: code, configuration, and the Go runtime.
	baseBytes = 32e6
	// heapNumerator and heapDenominator are the share of the memory that Go's soft limit allows the heap.
	heapNumerator, heapDenominator = 3, 4
	// largeNumerator, largeDenominator, smallDenominator and responseDenominator are the parts' shares of the memory.
	largeNumerator, largeDenominator = 3, 8
	smallDenominator                 = 32
	responseDenominator              = 16
	// stallAfter leaves callers on slow links the time to send SmallBody bytes.
	stallAfter = time.Second
	// ConnectionBytes is what an idle connection of a caller takes, with its goroutine and buffers.
	ConnectionBytes       = 24 << 10
	connectionDenominator = 6
	headDenominator       = 32
	minConnections        = 16
)

// LimitsFor returns the limits of a host that may use memory bytes. large replaces the limit of the part Large if it is not 0.
func LimitsFor(memory, large int64) Limits {
	limits := Limits{StallAfter: stallAfter, Single: max(memory*heapNumerator/heapDenominator-baseBytes, SmallBody)}
	limits.Bytes[Small] = max(memory/smallDenominator, SmallBody)
	limits.Bytes[Responses] = memory / responseDenominator
	limits.Bytes[Large] = memory * largeNumerator / largeDenominator
	if large > 0 {
		limits.Bytes[Large], limits.Single = large, max(limits.Single, large)
	}
	return limits
}

// MaxConnections returns the number of callers' connections that a host of the given memory accepts, if the process may open
// descriptors. Half of these are left to backend servers, the store and other hosts.
func MaxConnections(memory int64, descriptors uint64) int {
	byMemory := max(memory/connectionDenominator/ConnectionBytes, minConnections)
	return int(min(uint64(byMemory), max(descriptors/2, minConnections)))
}

// MaxHeadBytes returns the bytes that the heads of all requests may have together, beyond the first 4 KiB of each.
func MaxHeadBytes(memory int64) int64 { return memory / headDenominator }
