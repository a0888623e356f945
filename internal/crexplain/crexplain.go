// Package crexplain reconstructs the history of one request from the decision logs of any number of processes. It prints the lines
// of the request and of the calls below it in order of time, and reports which lines are missing.
package crexplain

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/go-logfmt/logfmt"

	"github.com/citronramp/citronramp/internal/crevent"
)

// callSeparator separates the id of a request from the suffix that a backend server appends for a downstream call. Downstream calls
// whose ids are not derived in this way cannot be found.
const callSeparator = "."

// maxLineBytes limits one line of a log.
const maxLineBytes = 64 << 10

// line is one parsed line of a decision log.
type line struct {
	time, process string
	event         crevent.Event
	id            string
	values        map[string]string
	sequence      int
}

// RequestHistory collects the log lines about one request.
type RequestHistory struct {
	// ID is the id of the request.
	ID string

	lines     []line
	processes map[string]bool
	// dropped counts the lines_dropped events in the logs.
	dropped    int
	stateLines []line
}

// Read reads the log of one or more processes. Text in front of the first key of a line is skipped.
func (s *RequestHistory) Read(r io.Reader) error {
	if s.processes == nil {
		s.processes = map[string]bool{}
	}
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, 4096), maxLineBytes)
	for in.Scan() {
		raw := in.Bytes()
		if i := bytes.Index(raw, []byte(crevent.KeyTime+"=")); i > 0 {
			raw = raw[i:]
		}
		if l, ok := parse(raw); ok {
			s.add(l)
		}
	}
	return in.Err()
}

func parse(raw []byte) (line, bool) {
	l := line{values: map[string]string{}}
	d := logfmt.NewDecoder(bytes.NewReader(raw))
	if !d.ScanRecord() {
		return l, false
	}
	for d.ScanKeyval() {
		k, v := string(d.Key()), string(d.Value())
		switch k {
		case crevent.KeyTime:
			l.time = v
		case crevent.KeyProcess:
			l.process = v
		case crevent.KeyEvent:
			l.event = crevent.Event(v)
		case crevent.KeyID:
			l.id = v
		default:
			l.values[k] = v
		}
	}
	return l, d.Err() == nil && l.event != ""
}

func (s *RequestHistory) add(l line) {
	s.processes[l.process] = true
	l.sequence = len(s.lines) + len(s.stateLines)
	switch {
	case l.id == s.ID || strings.HasPrefix(l.id, s.ID+callSeparator):
		s.lines = append(s.lines, l)
	case l.event == crevent.LinesDropped:
		s.dropped++
	case l.id == "":
		s.stateLines = append(s.stateLines, l)
	}
}

// printedKeys lists the keys whose values are printed, in order of output.
var printedKeys = []string{
	crevent.KeyRoute, crevent.KeyService, crevent.KeyCaller, crevent.KeyCode, crevent.KeyStatus, crevent.KeyReason, crevent.KeyTry,
	crevent.KeyWait, crevent.KeyTook, crevent.KeyLeft, crevent.KeyRunning, crevent.KeyQueue, crevent.KeySlots, crevent.KeyShare, crevent.KeyPressure,
	crevent.KeyPriority, crevent.KeyVersion, crevent.KeyDetail,
}

// Write prints the history of the request.
func (s *RequestHistory) Write(w io.Writer) error {
	b := &strings.Builder{}
	slices.SortStableFunc(s.lines, func(a, b line) int { return cmp.Or(cmp.Compare(a.time, b.time), cmp.Compare(a.sequence, b.sequence)) })
	slices.SortStableFunc(s.stateLines, func(a, b line) int { return cmp.Compare(a.time, b.time) })
	if len(s.lines) == 0 {
		fmt.Fprintf(b, "No line about %s in the logs of %d processes.\n", s.ID, len(s.processes))
		fmt.Fprintln(b, "Requests that end well are logged for a sample of ids only; look whether all processes' logs are here.")
		_, err := io.WriteString(w, b.String())
		return err
	}
	if before := s.stateBefore(s.lines[0].time); len(before) > 0 {
		fmt.Fprintln(b, "What these processes had come to believe just before:")
		for _, l := range before {
			s.writeLine(b, l, 1)
		}
	}
	fmt.Fprintf(b, "Request %s:\n", s.ID)
	for _, l := range s.lines {
		s.writeLine(b, l, 1+strings.Count(strings.TrimPrefix(l.id, s.ID), callSeparator))
	}
	s.writeMissing(b)
	_, err := io.WriteString(w, b.String())
	return err
}

// maxStateLines limits the state lines that are printed before the lines of the request.
const maxStateLines = 8

// stateBefore returns the last state lines, up to the start of the request, of the processes that logged the request.
func (s *RequestHistory) stateBefore(start string) []line {
	involved := map[string]bool{}
	for _, l := range s.lines {
		involved[l.process] = true
	}
	var out []line
	for _, l := range s.stateLines {
		if l.time <= start && involved[l.process] {
			out = append(out, l)
		}
	}
	return out[max(0, len(out)-maxStateLines):]
}

func (s *RequestHistory) writeLine(w *strings.Builder, l line, depth int) {
	fmt.Fprintf(w, "%s%s %s %s", strings.Repeat("  ", depth), l.time, l.process, l.event)
	for _, k := range printedKeys {
		if v := l.values[k]; v != "" {
			fmt.Fprintf(w, " %s=%s", k, v)
		}
	}
	if e := l.values[crevent.KeyError]; e != "" && e != "null" {
		fmt.Fprintf(w, " %s=%q", crevent.KeyError, e)
	}
	fmt.Fprintln(w)
}

// writeMissing reports which lines of the request are writeMissing.
func (s *RequestHistory) writeMissing(w *strings.Builder) {
	var atEntrance, atGate bool
	for _, l := range s.lines {
		if l.id != s.ID {
			continue
		}
		atEntrance = atEntrance || l.event == crevent.Answered || l.event == crevent.Cancelled || l.event == crevent.Rejected
		atGate = atGate || l.event == crevent.Ran
	}
	if !atEntrance {
		fmt.Fprintln(w, "Missing: the line of the entrance that answered the client.")
	}
	if !atGate {
		fmt.Fprintln(w, "No gate logged a run of the request itself: it was not run, or the run's log is not here.")
	}
	if s.dropped > 0 {
		fmt.Fprintf(w, "%d processes dropped lines while their logs were full; the story may have gaps.\n", s.dropped)
	}
}
