// Package crexplain tells the story of one request from the decision logs of any number of processes: its own lines and
// those of the calls below it, in order of time, with what is missing.
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

// callSeparator stands between the id of a request and what the server that it runs on adds for a call, in programs that
// derive ids so; calls with ids of their own kind cannot be found.
const callSeparator = "."

// maxLine bounds one line of a log.
const maxLine = 64 << 10

// line is a decision that was logged.
type line struct {
	time, process string
	event         crevent.Event
	id            string
	values        map[string]string
	order         int
}

// Story collects the lines about one request.
type Story struct {
	// ID is that of the request.
	ID string

	lines     []line
	processes map[string]bool
	// dropped counts lines that processes dropped, versions the configurations that were learned.
	dropped int
	state   []line
}

// Read takes the log of one or more processes. Text before the first key of a line is skipped.
func (s *Story) Read(r io.Reader) error {
	if s.processes == nil {
		s.processes = map[string]bool{}
	}
	in := bufio.NewScanner(r)
	in.Buffer(make([]byte, 0, 4096), maxLine)
	for in.Scan() {
		raw := in.Bytes()
		if i := bytes.Index(raw, []byte(crevent.KeyTime+"=")); i > 0 {
			raw = raw[i:]
		}
		if l, ok := parse(raw); ok {
			s.take(l)
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

func (s *Story) take(l line) {
	s.processes[l.process] = true
	l.order = len(s.lines) + len(s.state)
	switch {
	case l.id == s.ID || strings.HasPrefix(l.id, s.ID+callSeparator):
		s.lines = append(s.lines, l)
	case l.event == crevent.LinesDropped:
		s.dropped++
	case l.id == "":
		s.state = append(s.state, l)
	}
}

// keys are the values of a line in the order in which they are told.
var keys = []string{
	crevent.KeyRoute, crevent.KeyService, crevent.KeyCaller, crevent.KeyCode, crevent.KeyStatus, crevent.KeyReason, crevent.KeyTry,
	crevent.KeyWait, crevent.KeyTook, crevent.KeyLeft, crevent.KeyRunning, crevent.KeyQueue, crevent.KeySlots, crevent.KeyShare, crevent.KeyPressure,
	crevent.KeyPriority, crevent.KeyVersion, crevent.KeyDetail,
}

// Write tells the story.
func (s *Story) Write(w io.Writer) error {
	b := &strings.Builder{}
	slices.SortStableFunc(s.lines, func(a, b line) int { return cmp.Or(cmp.Compare(a.time, b.time), cmp.Compare(a.order, b.order)) })
	slices.SortStableFunc(s.state, func(a, b line) int { return cmp.Compare(a.time, b.time) })
	if len(s.lines) == 0 {
		fmt.Fprintf(b, "No line about %s in the logs of %d processes.\n", s.ID, len(s.processes))
		fmt.Fprintln(b, "Requests that end well are logged for a sample of ids only; look whether all processes' logs are here.")
		_, err := io.WriteString(w, b.String())
		return err
	}
	if before := s.before(s.lines[0].time); len(before) > 0 {
		fmt.Fprintln(b, "What these processes had come to believe just before:")
		for _, l := range before {
			s.print(b, l, 1)
		}
	}
	fmt.Fprintf(b, "Request %s:\n", s.ID)
	for _, l := range s.lines {
		s.print(b, l, 1+strings.Count(strings.TrimPrefix(l.id, s.ID), callSeparator))
	}
	s.missing(b)
	_, err := io.WriteString(w, b.String())
	return err
}

// shownBefore bounds the state lines before the story.
const shownBefore = 8

// before returns the last changes of state of the processes in the story.
func (s *Story) before(start string) []line {
	in := map[string]bool{}
	for _, l := range s.lines {
		in[l.process] = true
	}
	var out []line
	for _, l := range s.state {
		if l.time <= start && in[l.process] {
			out = append(out, l)
		}
	}
	return out[max(0, len(out)-shownBefore):]
}

func (s *Story) print(w *strings.Builder, l line, depth int) {
	fmt.Fprintf(w, "%s%s %s %s", strings.Repeat("  ", depth), l.time, l.process, l.event)
	for _, k := range keys {
		if v := l.values[k]; v != "" {
			fmt.Fprintf(w, " %s=%s", k, v)
		}
	}
	if e := l.values[crevent.KeyError]; e != "" && e != "null" {
		fmt.Fprintf(w, " %s=%q", crevent.KeyError, e)
	}
	fmt.Fprintln(w)
}

// missing says which lines the story lacks.
func (s *Story) missing(w *strings.Builder) {
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
