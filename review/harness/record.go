package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// record is the list of what was sent, answered and run, with the time since the start of the case.
type record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// now returns the time since the start of the case.
func (r *record) now() time.Duration { return time.Since(r.start) }

// note adds a line.
func (r *record) note(format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", r.now().Seconds(), fmt.Sprintf(format, arguments...))
}

func (r *record) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := r.out.Flush(); err != nil {
		return err
	}
	return r.file.Close()
}

func sortDurations(all []time.Duration) { slices.Sort(all) }
