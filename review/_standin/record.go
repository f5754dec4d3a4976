package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run, and which rules were broken.
type record struct {
	started time.Time

	mu     sync.Mutex
	file   *os.File
	out    *bufio.Writer
	breaks map[rule]int
}

func openRecord(path string) (r *record, err error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: f, out: bufio.NewWriter(f), breaks: map[rule]int{}}, nil
}

// write adds a line.
func (r *record) write(who, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writeLocked(who, format, args...)
}

func (r *record) writeLocked(who, format string, args ...any) {
	_, _ = fmt.Fprintf(r.out, "%8.3f %-8s %s\n", time.Since(r.started).Seconds(), who, fmt.Sprintf(format, args...))
}

// broken adds a line about a broken rule.
func (r *record) broken(name rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaks[name]++
	r.writeLocked("BROKEN", "%s: %s", name, fmt.Sprintf(format, args...))
}

// count returns how often a rule was broken.
func (r *record) count(name rule) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.breaks[name]
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
