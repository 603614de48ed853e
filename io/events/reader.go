package events

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// maxLineBytes is the maximum length of a line in a log file.
const maxLineBytes = 1 << 20

// Line is a parsed line of a log file.
type Line struct {
	Time  time.Time
	Host  string
	Event int
	// Message is the text of the event when the line was written.
	Message string
	// Attributes holds the other fields, as decoded from JSON, without the level.
	Attributes map[string]any
}

// StringAttribute returns an attribute, or an empty string if it is missing or not a string.
func (l Line) StringAttribute(name string) string {
	text, _ := l.Attributes[name].(string)
	return text
}

// ReadLogs reads all files in a folder and returns their lines, sorted by time. It ignores any text before the JSON object of a
// line, and lines without an event number.
func ReadLogs(folder string) (lines []Line, err error) {
	defer func() { err = errors.Wrapf(err, "read the logs in %s", folder) }()
	files, err := filepath.Glob(filepath.Join(folder, "*"))
	if err != nil {
		return nil, err
	}
	for _, name := range files {
		fileLines, err := readLog(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, fileLines...)
	}
	if len(lines) == 0 {
		return nil, errors.New("no log line found")
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return lines, nil
}

// readLog parses a log file; a subfolder has no lines.
func readLog(name string) (lines []Line, err error) {
	info, err := os.Stat(name)
	if err != nil || info.IsDir() {
		return nil, err
	}
	file, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.CombineErrors(err, file.Close()) }()
	return parseLog(file)
}

func parseLog(from io.Reader) (lines []Line, err error) {
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		if line, ok := parseLine(scanner.Bytes()); ok {
			lines = append(lines, line)
		}
	}
	return lines, scanner.Err()
}

// parseLine parses a line. ok is false if it isn't a log line with an event number.
func parseLine(text []byte) (line Line, ok bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return line, false
	}
	var head struct {
		Time  time.Time `json:"time"`
		Host  string    `json:"host"`
		Event int       `json:"event"`
		Msg   string    `json:"msg"`
	}
	if json.Unmarshal(text[start:], &head) != nil || head.Event == 0 || json.Unmarshal(text[start:], &line.Attributes) != nil {
		return line, false
	}
	line.Time, line.Host, line.Event, line.Message = head.Time, head.Host, head.Event, head.Msg
	for _, name := range []string{"time", "host", "event", "msg", "level"} {
		delete(line.Attributes, name)
	}
	return line, true
}
