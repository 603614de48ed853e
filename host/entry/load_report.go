package entry

import (
	"strconv"
	"strings"

	"vanillatally/core/pace"
)

// loadReport is a backend server's load report, "running,waiting,slots" with an optional fourth figure, the pace: how long work
// currently takes on the server's machine, in percent of the usual time.
type loadReport struct {
	running, waiting, slots int
	// pacePercent is 0 if the report has no pace.
	pacePercent int
}

// hasFreeSlot reports whether the server can run another request at once.
func (r loadReport) hasFreeSlot() bool { return r.waiting == 0 && r.running < r.slots }

// invalidPart is the part of a load report that is ignored.
type invalidPart string

const (
	// invalidReport: the report isn't three or four non-negative integers.
	invalidReport invalidPart = "report"
	// invalidPace: the pace is out of its bounds.
	invalidPace invalidPart = "pace"
)

// figureBits bounds the figures of a report, so that their sums don't overflow.
const figureBits = 31

// parseLoadReport parses the header of a load report. Spaces around the figures are allowed. It returns the part of the report
// that is to be ignored, or an empty string.
func parseLoadReport(header string) (report loadReport, invalid invalidPart) {
	var figures [4]int
	count := 0
	for field := range strings.SplitSeq(header, ",") {
		figure, err := strconv.ParseUint(strings.Trim(field, " "), 10, figureBits)
		if err != nil || count == len(figures) {
			return loadReport{}, invalidReport
		}
		figures[count] = int(figure)
		count++
	}
	if count < len(figures)-1 {
		return loadReport{}, invalidReport
	}
	report = loadReport{running: figures[0], waiting: figures[1], slots: figures[2]}
	if count < len(figures) {
		return report, ""
	}
	if !pace.Valid(figures[3]) {
		return report, invalidPace
	}
	report.pacePercent = figures[3]
	return report, ""
}
