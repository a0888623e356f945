// Package crevent writes the decision log of a process: one logfmt line for each decision about a request and for each
// change of what the process believes, with the words of one vocabulary. Lines go through a bounded ring to one writer,
// so that a reader of the output that stands still never delays a request.
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

// Class tells which lines are dropped first.
type Class uint8

// The classes, from the first to be dropped to the last.
const (
	// Routine lines tell of requests that go well; they are sampled by the id of the request.
	Routine Class = iota
	// Failure lines tell of requests that are rejected or fail.
	Failure
	// State lines tell of changes of what the process believes.
	State
)

// Defaults of a log.
const (
	// DefaultSample is how many requests there are to one whose routine lines are written.
	DefaultSample = 64
	// DefaultRate bounds routine and failure lines in a second; at 200 bytes a line this is 60 kB/s.
	DefaultRate = 300
	// ringLines bounds the lines that wait for the writer, about 1 MB.
	ringLines = 4096
	// countInterval is the time between lines that tell how many were dropped.
	countInterval = 5 * time.Second
	// flushBytes bounds one write.
	flushBytes = 32 << 10
)

// Log is the log of one process. Set the exported fields, then call Run; lines may be emitted before.
type Log struct {
	Out io.Writer
	// Sample and Rate have defaults.
	Sample uint32
	Rate   int
	// Process and Role name the process on each line.
	Process string

	once    sync.Once
	ring    *crring.Ring[[]byte]
	mu      sync.Mutex
	second  int64
	lines   int
	dropped map[Event]int
}

func (l *Log) init() {
	l.once.Do(func() {
		l.ring = crring.New[[]byte](ringLines)
		l.dropped = map[Event]int{}
		if l.Sample == 0 {
			l.Sample = DefaultSample
		}
		if l.Rate == 0 {
			l.Rate = DefaultRate
		}
	})
}

// Sampled reports whether the routine lines of a request are written; all processes agree on it.
func (l *Log) Sampled(id string) bool {
	l.init()
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return h.Sum32()%l.Sample == 0
}

// Emit writes a line; keyvals alternate keys of the vocabulary and values.
func (l *Log) Emit(now time.Time, class Class, event Event, keyvals ...any) {
	if l == nil {
		return
	}
	l.init()
	if !l.takes(now, class, event) {
		return
	}
	var line bytes.Buffer
	all := append([]any{KeyTime, now.UTC().Format("15:04:05.000"), KeyEvent, string(event), KeyProcess, l.Process}, keyvals...)
	// Writing to a buffer cannot fail; a value without a text form is written as its error.
	_ = log.NewLogfmtLogger(&line).Log(all...)
	if !l.ring.Push(line.Bytes()) {
		l.drop(event)
	}
}

// takes reports whether there is room for a line of the class.
func (l *Log) takes(now time.Time, class Class, event Event) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := now.Unix(); s != l.second {
		l.second, l.lines = s, 0
	}
	waiting := l.ring.Len()
	room := waiting < ringLines
	switch class {
	case Routine:
		room = waiting < ringLines/2 && l.lines < l.Rate/2
	case Failure:
		room = waiting < ringLines*7/8 && l.lines < l.Rate
	case State:
	}
	if !room {
		l.dropped[event]++
		return false
	}
	if class != State {
		l.lines++
	}
	return true
}

func (l *Log) drop(event Event) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped[event]++
}

// Dropped returns the lines dropped since the last call, by event.
func (l *Log) Dropped() map[Event]int {
	l.init()
	l.mu.Lock()
	defer l.mu.Unlock()
	d := l.dropped
	l.dropped = map[Event]int{}
	return d
}

// Run writes lines until ctx ends, then those that wait.
func (l *Log) Run(ctx context.Context) {
	l.init()
	tick := time.NewTicker(countInterval)
	defer tick.Stop()
	for {
		select {
		case line := <-l.ring.C():
			l.write(line)
		case <-tick.C:
			l.count()
		case <-ctx.Done():
			l.count()
			for l.ring.Len() > 0 {
				l.write(<-l.ring.C())
			}
			return
		}
	}
}

// write joins waiting lines into one write.
func (l *Log) write(line []byte) {
	for len(line) < flushBytes && l.ring.Len() > 0 {
		line = append(line, <-l.ring.C()...)
	}
	// Nobody is left to tell when the output is gone.
	_, _ = l.Out.Write(line)
}

// count tells how many lines were dropped.
func (l *Log) count() {
	for event, n := range l.Dropped() {
		l.Emit(time.Now(), State, LinesDropped, KeyOf, string(event), KeyCount, n)
	}
}

// Logger returns a go-kit logger for parts that know nothing of events; each call is one state line.
func (l *Log) Logger() log.Logger {
	return log.LoggerFunc(func(keyvals ...any) error {
		l.Emit(time.Now(), State, Message, keyvals...)
		return nil
	})
}
