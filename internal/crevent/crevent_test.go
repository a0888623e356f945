package crevent_test

import (
	"bytes"
	"context"
	"io"
	"os"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crevent"
)

type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

func (b *buffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.String()
}

// TestLine guards against lines that are not valid logfmt or lack the process name.
func TestLine(t *testing.T) {
	out := &buffer{}
	l := &crevent.Log{Out: out, Process: "n1"}
	l.Emit(time.Unix(0, 0), crevent.State, crevent.ConfigLearned, crevent.KeyVersion, 7, crevent.KeyReason, "two words")
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.Run(ctx)
	qt.Assert(t, out.String(), qt.Equals, "t=00:00:00.000 event=config_learned process=n1 version=7 reason=\"two words\"\n")
}

// TestStandingReader guards against a blocked output that delays the process. Nobody reads the pipe, so every write blocks; Emit
// still has to return at once, state lines have to be dropped last, and dropped lines have to be counted.
func TestStandingReader(t *testing.T) {
	r, w := io.Pipe()
	l := &crevent.Log{Out: w, Rate: 1 << 20}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		l.Run(ctx)
		close(done)
	}()
	start := time.Now()
	for range 20_000 {
		l.Emit(start, crevent.Routine, crevent.Answered, crevent.KeyID, "x")
	}
	for range 20_000 {
		l.Emit(start, crevent.Failure, crevent.Rejected, crevent.KeyID, "x")
	}
	l.Emit(start, crevent.State, crevent.ConfigLearned)
	qt.Assert(t, time.Since(start) < 5*time.Second, qt.IsTrue)
	dropped := l.Dropped()
	qt.Assert(t, dropped[crevent.Answered] > 10_000, qt.IsTrue)
	qt.Assert(t, dropped[crevent.Rejected] > 10_000, qt.IsTrue)
	qt.Assert(t, dropped[crevent.ConfigLearned], qt.Equals, 0)
	cancel()
	_ = r.Close()
	<-done
}

// TestRate guards against request lines above the rate limit, and against a rate limit that drops state lines.
func TestRate(t *testing.T) {
	out := &buffer{}
	l := &crevent.Log{Out: out, Rate: 10}
	now := time.Unix(5, 0)
	for range 100 {
		l.Emit(now, crevent.Failure, crevent.Rejected)
		l.Emit(now, crevent.State, crevent.LeaderChanged)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	l.Run(ctx)
	qt.Assert(t, strings.Count(out.String(), "event=rejected"), qt.Equals, 10)
	qt.Assert(t, strings.Count(out.String(), "event=leader_changed"), qt.Equals, 100)
	qt.Assert(t, strings.Contains(out.String(), "event=lines_dropped process= of=rejected count=90"), qt.IsTrue, qt.Commentf("%s", out))
}

// TestSampled guards against processes that sample different requests, and against a wrong sampling ratio.
func TestSampled(t *testing.T) {
	a, b := &crevent.Log{}, &crevent.Log{}
	n := 0
	for i := range 10_000 {
		id := strings.Repeat("f", i%7) + time.Duration(i).String()
		qt.Assert(t, a.Sampled(id), qt.Equals, b.Sampled(id))
		if a.Sampled(id) {
			n++
		}
	}
	qt.Assert(t, n > 50 && n < 400, qt.IsTrue, qt.Commentf("%d", n))
}

// TestPage guards against a documentation page whose vocabulary differs from the code.
func TestPage(t *testing.T) {
	code, err := os.ReadFile("vocabulary.go")
	qt.Assert(t, err, qt.IsNil)
	page, err := os.ReadFile("../../docs/events.md")
	qt.Assert(t, err, qt.IsNil)
	words := func(text []byte, pattern string) []string {
		var out []string
		for _, m := range regexp.MustCompile(pattern).FindAllSubmatch(text, -1) {
			out = append(out, string(m[1]))
		}
		return out
	}
	qt.Assert(t, words(page, "(?m)^\\| `(\\w+)` \\|"), qt.DeepEquals, words(code, `= "(\w+)"`))
}

// BenchmarkEmit measures emitting the line of a rejected request, once within and once above the rate limit.
func BenchmarkEmit(b *testing.B) {
	for name, rate := range map[string]int{"written": 1 << 30, "dropped": 1} {
		b.Run(name, func(b *testing.B) {
			l := &crevent.Log{Process: "sidecar-bg-south-b-8", Rate: rate, Out: io.Discard}
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			wg.Go(func() { l.Run(ctx) })
			now := time.Unix(1, 0)
			for b.Loop() {
				l.Emit(now, crevent.Failure, crevent.Rejected, crevent.KeyID, "e722bab021b0aae3", crevent.KeyRoute, "r-4a6a7fe", crevent.KeyService, "balo25d",
					crevent.KeyPriority, 2, crevent.KeyShare, 0.5424252491694352, crevent.KeyReason, "shed")
			}
			cancel()
			wg.Wait()
		})
	}
}
