package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run.
type record struct {
	began time.Time

	mu     sync.Mutex
	file   *os.File
	writer *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, writer: bufio.NewWriter(file)}, nil
}

// note writes a line with the seconds since the start.
func (r *record) note(format string, values ...any) {
	r.noteAt(time.Now(), format, values...)
}

func (r *record) noteAt(at time.Time, format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%9.3f %s\n", at.Sub(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// say writes a line and prints it.
func (r *record) say(format string, values ...any) {
	r.note(format, values...)
	fmt.Printf(format+"\n", values...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.writer.Flush()
	_ = r.file.Close()
}
