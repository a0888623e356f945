// Package crevent writes the decision log of a process: one logfmt line for each decision about a request and for each change of
// the state that the process holds. Event names and keys come from one vocabulary. Lines pass through a bounded queue to a single
// writer, so that a blocked output never delays a request.
package crevent

import (
	"bytes"
	"context"
	"hash/fnv"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/citronramp/citronramp/internal/crring"
)

// Class is the priority of a line: when lines have to be dropped, lower classes are dropped first.
type Class uint8

// The classes, from the first to be dropped to the last.
const (
	// Routine lines report successful requests. They are sampled by request id.
	Routine Class = iota
	// Failure lines report requests that are rejected or fail.
	Failure
	// State lines report changes of the state that the process holds.
	State
)

// Defaults and limits of a log.
const (
	// DefaultSample is the sampling divisor: routine lines are written for one of this many requests.
	DefaultSample = 64
	// DefaultRate limits routine and failure lines per second. At 200 bytes a line this is 60 kB/s.
	DefaultRate = 300
	// ringCapacity limits the lines that wait for the writer, which take about 1 MB.
	ringCapacity = 4096
	// dropReportInterval is the interval between reports of the number of dropped lines.
	dropReportInterval = 5 * time.Second
	// flushBytes is the size up to which waiting lines are joined into one write.
	flushBytes = 32 << 10
)

// Log is the decision log of one process. Set the exported fields, then call Run. Lines may be emitted before Run is called.
type Log struct {
	Out io.Writer
	// Sample and Rate default to DefaultSample and DefaultRate.
	Sample uint32
	Rate   int
	// Process is the name of the process, which stands on each line.
	Process string

	once            sync.Once
	ring            *crring.Ring[[]byte]
	mu              sync.Mutex
	second          int64
	linesThisSecond int
	dropped         map[Event]int
}

func (l *Log) init() {
	l.once.Do(func() {
		l.ring = crring.New[[]byte](ringCapacity)
		l.dropped = map[Event]int{}
		if l.Sample == 0 {
			l.Sample = DefaultSample
		}
		if l.Rate == 0 {
			l.Rate = DefaultRate
		}
	})
}

// Sampled reports whether routine lines are written for a request. It depends on the id only, so that all processes sample the
// same requests.
func (l *Log) Sampled(id string) bool {
	l.init()
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()%l.Sample == 0
}

// Emit queues a line, or drops it if there is no room for its class. keyvals alternates keys of the vocabulary and values.
func (l *Log) Emit(now time.Time, class Class, event Event, keyvals ...any) {
	if l == nil {
		return
	}
	l.init()
	if !l.admit(now, class, event) {
		return
	}
	var line bytes.Buffer
	all := append([]any{KeyTime, now.UTC().Format("15:04:05.000"), KeyEvent, string(event), KeyProcess, l.Process}, keyvals...)
	// Writing to a buffer cannot fail. A value that cannot be encoded is replaced by the encoding error.
	_ = log.NewLogfmtLogger(&line).Log(all...)
	if !l.ring.Push(line.Bytes()) {
		l.countDropped(event)
	}
}

// admit reports whether there is room for a line of the class, and counts the line as written or dropped.
func (l *Log) admit(now time.Time, class Class, event Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.linesThisSecond = s, 0
	}
	queued := l.ring.Len()
	room := queued < ringCapacity
	switch class {
	case Routine:
		room = queued < ringCapacity/2 && l.linesThisSecond < l.Rate/2
	case Failure:
		room = queued < ringCapacity*7/8 && l.linesThisSecond < l.Rate
	case State:
	}
	if !room {
		l.dropped[event]++
		return false
	}
	if class != State {
		l.linesThisSecond++
	}
	return true
}

func (l *Log) countDropped(event Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped[event]++
}

// Dropped returns the number of lines dropped since the last call, by event.
func (l *Log) Dropped() map[Event]int {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.dropped
	l.dropped = map[Event]int{}
	return d
}

// Run writes lines until ctx ends, then writes the lines that are still queued and returns.
func (l *Log) Run(ctx context.Context) {
	l.init()
	tick := time.NewTicker(dropReportInterval)
	defer tick.Stop()
	for {
		select {
		case line := <-l.ring.C():
			l.write(line)
		case <-tick.C:
			l.reportDropped()
		case <-ctx.Done():
			l.reportDropped()
			for l.ring.Len() > 0 {
				l.write(<-l.ring.C())
			}
			return
		}
	}
}

// write writes a line together with further queued lines.
func (l *Log) write(line []byte) {
	for len(line) < flushBytes && l.ring.Len() > 0 {
		line = append(line, <-l.ring.C()...)
	}
	// A failed write is ignored, because there is no other output to report it to.
	_, _ = l.Out.Write(line)
}

// reportDropped emits one line for each event of which lines were dropped.
func (l *Log) reportDropped() {
	for event, n := range l.Dropped() {
		l.Emit(time.Now(), State, LinesDropped, KeyOf, string(event), KeyCount, n)
	}
}

// Logger returns a go-kit logger for packages that do not use events. Each call becomes one state line.
func (l *Log) Logger() log.Logger {
	return log.LoggerFunc(func(keyvals ...any) error {
		l.Emit(time.Now(), State, Message, keyvals...)
		return nil
	})
}
