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

// maxLineBytes bounds one line of a log file.
const maxLineBytes = 1 << 20

// Line is one line of a log.
type Line struct {
	Time  time.Time
	Host  string
	Event int
	// Message is the event's text.
	Message string
	// Attributes holds the rest, as decoded from JSON.
	Attributes map[string]any
}

// StringAttribute returns an attribute as text, or nothing when it is missing or of another type.
func (l Line) StringAttribute(name string) string {
	text, _ := l.Attributes[name].(string)
	return text
}

// ReadLogs reads every file of a folder and returns the lines in the order of their times. What stands before the JSON
// object of a line, and lines without one, are ignored.
func ReadLogs(folder string) (lines []Line, err error) {
	defer func() { err = errors.Wrapf(err, "read the logs in %s", folder) }()
	files, err := filepath.Glob(filepath.Join(folder, "*"))
	if err != nil {
		return nil, err
	}
	for _, name := range files {
		read, err := readLog(name)
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	if len(lines) == 0 {
		return nil, errors.New("no log line found")
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(a.Time.UnixNano(), b.Time.UnixNano()) })
	return lines, nil
}

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
