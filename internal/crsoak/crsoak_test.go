package crsoak

import (
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/pkg/crlog"
	"github.com/citronramp/citronramp/pkg/crstore"
)

// TestPlan guards against a schedule that the same seed does not reproduce, and against one with more faults than the system
// tolerates: two coordinators or all machines of a service at the same time.
func TestPlan(t *testing.T) {
	kinds := map[Kind]int{}
	for seed := range uint64(200) {
		plan := Plan(seed, 20*time.Second)
		qt.Assert(t, Plan(seed, 20*time.Second), qt.DeepEquals, plan)
		var coreUntil time.Duration
		for i, a := range plan {
			kinds[a.Kind]++
			f := faultOf(a.Kind)
			qt.Assert(t, f.link, qt.Equals, a.Link != modePass)
			if f.core {
				qt.Assert(t, a.At >= coreUntil, qt.IsTrue)
				coreUntil = a.At + a.For + f.settleTime
				continue
			}
			same := map[int]bool{a.Target: true}
			for _, b := range plan[:i] {
				g := faultOf(b.Kind)
				if !g.core && b.Target/servers == a.Target/servers && a.At < b.At+b.For+g.settleTime {
					qt.Assert(t, same[b.Target], qt.IsFalse, qt.Commentf("seed %d: %s while %s", seed, a, b))
					same[b.Target] = true
				}
			}
			qt.Assert(t, len(same) < servers, qt.IsTrue)
		}
	}
	qt.Assert(t, kinds, qt.HasLen, len(faults))
}

// TestPromises guards against checks that do not detect a broken promise or that report one which holds.
func TestPromises(t *testing.T) {
	now := time.Unix(100, 0)
	for name, broken := range map[string]func(p *promises){
		"runs twice": func(p *promises) {
			p.recordRun(now, ledgerService, "a", true, false)
			p.recordRun(now, ledgerService, "a", true, false)
		},
		"said not to have run": func(p *promises) {
			p.recordNotRun(now, "a")
			p.recordRun(now, ledgerService, "a", false, false)
		},
		"whole answers": func(p *promises) { p.recordOutcome(now, "a", outcomeAnswered) },
		"retry budget": func(p *promises) {
			for i := range 10 * budgetSlack {
				p.recordRun(now, frontService, fmt.Sprint(i/2), false, false)
			}
		},
	} {
		p := newPromises(now)
		p.recordRun(now, frontService, "b", false, false)
		p.recordOutcome(now, "b", outcomeAnswered)
		qt.Assert(t, p.result().Broken, qt.HasLen, 0)
		broken(p)
		qt.Assert(t, p.result().Broken, qt.HasLen, 1)
		qt.Assert(t, p.result().Broken[0].Promise, qt.Equals, name)
	}
	p := newPromises(now)
	p.recordRun(now, ledgerService, "a", true, false)
	p.recordOutcome(now, "a", outcomeRefused)
	qt.Assert(t, p.result().Broken[0].Promise, qt.Equals, "said not to have run")
	p = newPromises(now)
	p.recordLost(now, "a", lossSlack, "")
	qt.Assert(t, p.result().Broken, qt.HasLen, 0)
	qt.Assert(t, p.result().Unread, qt.Equals, 1)
	p.recordLost(now, "a", lossSlack+1, "")
	p.recordRun(now, ledgerService, "b", true, false)
	p.recordLost(now, "b", 0, "")
	qt.Assert(t, p.result().Broken, qt.HasLen, 2)
	p.faultBegins(2)
	qt.Assert(t, p.disturbed(2, now), qt.IsTrue)
	p.faultEnds(now, 2)
	qt.Assert(t, p.disturbed(2, now), qt.IsTrue)
	qt.Assert(t, p.disturbed(2, now.Add(2*time.Second)), qt.IsFalse)
	qt.Assert(t, p.disturbed(1, now), qt.IsFalse)
}

// TestProxy guards against a proxy whose effect differs from its mode.
func TestProxy(t *testing.T) {
	echo, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = echo.Close() }()
	go func() {
		for {
			c, err := echo.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	p, err := newProxy("127.0.0.1:0", echo.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer p.close()
	say := func(c net.Conn, wait time.Duration) (string, time.Duration) {
		began := time.Now()
		_, err := c.Write([]byte("hello"))
		if err != nil {
			return err.Error(), 0
		}
		qt.Assert(t, c.SetReadDeadline(began.Add(wait)), qt.IsNil)
		buf := make([]byte, 5)
		if _, err = io.ReadFull(c, buf); err != nil {
			return "nothing", 0
		}
		return string(buf), time.Since(began)
	}
	dial := func() net.Conn {
		c, err := net.Dial("tcp", p.ln.Addr().String())
		qt.Assert(t, err, qt.IsNil)
		return c
	}
	c := dial()
	got, _ := say(c, time.Second)
	qt.Assert(t, got, qt.Equals, "hello")
	p.set(Delayed)
	got, took := say(c, time.Second)
	qt.Assert(t, got, qt.Equals, "hello")
	qt.Assert(t, took >= 2*delay, qt.IsTrue, qt.Commentf("%s", took))
	for _, m := range []Mode{Silent, OneWayUp, OneWayDown} {
		p.set(m)
		got, _ = say(dial(), 200*time.Millisecond)
		qt.Assert(t, got, qt.Equals, "nothing", qt.Commentf("%s", m))
	}
	p.set(Reset)
	_, err = c.Read(make([]byte, 1))
	qt.Assert(t, err, qt.IsNotNil)
	p.set(modePass)
	got, _ = say(dial(), time.Second)
	qt.Assert(t, got, qt.Equals, "hello")
}

// program builds the citronramp program and returns its path.
func program(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "citronramp")
	out, err := exec.Command("go", "build", "-o", path, "github.com/citronramp/citronramp/cmd/citronramp").CombinedOutput()
	qt.Assert(t, err, qt.IsNil, qt.Commentf("%s", out))
	return path
}

// network returns a loopback network that depends on the process id, so that concurrent test processes do not share one.
func network() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d", 50+pid%50, pid/50%250)
}

// TestSoak runs a short schedule on real processes; it guards against broken promises and against a run without load.
func TestSoak(t *testing.T) {
	var out strings.Builder
	s := &Soak{Program: program(t), Dir: t.TempDir(), Seed: 1, Duration: 10 * time.Second, Network: network(), Out: &out}
	result, err := s.Run(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, result.Broken, qt.HasLen, 0, qt.Commentf("%s", out.String()))
	qt.Assert(t, result.Answered > 500, qt.IsTrue, qt.Commentf("%s", out.String()))
	qt.Assert(t, result.Versions > 5, qt.IsTrue, qt.Commentf("%s", out.String()))
}

// TestSoakCrowd runs a short schedule beside clients that misbehave; it guards against promises to other clients that these
// break, and against processes that they end or make exceed their limits.
func TestSoakCrowd(t *testing.T) {
	var out strings.Builder
	s := &Soak{Program: program(t), Dir: t.TempDir(), Seed: 2, Duration: 10 * time.Second, Network: network(), Crowd: 40, Out: &out}
	result, err := s.Run(t.Context())
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, result.Broken, qt.HasLen, 0, qt.Commentf("%s", out.String()))
	qt.Assert(t, result.Answered > 0, qt.IsTrue, qt.Commentf("%s", out.String()))
}

// TestClosing guards against a final fault that the same seed does not reproduce, and against a kind that is hardly ever
// drawn.
func TestClosing(t *testing.T) {
	kinds := map[Kind]int{}
	for seed := range uint64(200) {
		a := Closing(seed, 20*time.Second)
		qt.Assert(t, Closing(seed, 20*time.Second), qt.DeepEquals, a)
		qt.Assert(t, a.At, qt.Equals, 20*time.Second)
		kinds[a.Kind]++
	}
	for _, k := range []Kind{BlackoutCore, BlackoutAll, BlackoutTorn} {
		qt.Assert(t, kinds[k] > 40, qt.IsTrue, qt.Commentf("%s %d times", k, kinds[k]))
	}
}

// TestTear guards against an unfinished record at the end of a log that damages stored entries or that the store does not
// report.
func TestTear(t *testing.T) {
	dir := t.TempDir()
	open := func() (*crstore.Store, crlog.State, string) {
		var reported strings.Builder
		s, st, err := crstore.Open(crstore.OS{}, dir, "core", crstore.RandomID, func(format string, args ...any) { fmt.Fprintf(&reported, format, args...) })
		qt.Assert(t, err, qt.IsNil)
		return s, st, reported.String()
	}
	for seed := range uint64(10) {
		s, _, _ := open()
		qt.Assert(t, s.Append(&crlog.HardState{Term: seed + 1, Vote: 1}, []crlog.Entry{{Index: seed + 1, Term: seed + 1, Data: []byte("x")}}), qt.IsNil)
		qt.Assert(t, s.Close(), qt.IsNil)
		qt.Assert(t, appendTornRecord(dir, seed), qt.IsNil)
		s, st, reported := open()
		qt.Assert(t, st.Entries, qt.HasLen, int(seed)+1)
		qt.Assert(t, st.Hard.Term, qt.Equals, seed+1)
		qt.Assert(t, reported, qt.Contains, "unfinished record")
		qt.Assert(t, s.Close(), qt.IsNil)
	}
}
