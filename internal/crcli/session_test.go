package crcli_test

import (
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"go.uber.org/goleak"

	"github.com/citronramp/citronramp/internal/crcli"
	"github.com/citronramp/citronramp/internal/crtest"
)

var update = flag.Bool("update", false, "write the transcripts of the sessions into testdata")

// waitLimit is the timeout of every wait for a condition; the result of a test does not depend on the time that a wait takes.
const waitLimit = 40 * time.Second

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"citronramp": func() { os.Exit(crcli.Main(os.Args, os.Stdin, os.Stdout, os.Stderr)) },
	})
}

// TestSessions guards against unintended changes of answers and command output. It runs the scripts in testdata, sessions of
// operators and clients, against real processes and compares the output with the transcript at the end of each script.
func TestSessions(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir:           "testdata",
		UpdateScripts: *update,
		Setup: func(e *testscript.Env) error {
			s := newSession(e.WorkDir, root)
			e.Values[sessionKey{}] = s
			e.Defer(s.close)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"say":      scriptCommand((*session).say),
			"now":      scriptCommand((*session).now),
			"leader":   scriptCommand((*session).leader),
			"save":     scriptCommand((*session).save),
			"refused":  scriptCommand((*session).refused),
			"never":    scriptCommand((*session).never),
			"example":  scriptCommand((*session).example),
			"settings": scriptCommand((*session).settings),
			"start":    scriptCommand((*session).start),
			"signal":   scriptCommand((*session).signal),
			"exited":   scriptCommand((*session).exited),
			"until":    scriptCommand((*session).until),
			"folder":   scriptCommand((*session).folder),
			"backend":  scriptCommand((*session).backendCommand),
			"answer":   scriptCommand((*session).answer),
			"ctl":      recordedCommand("ctl"),
			"script":   recordedCommand("script"),
			"http":     recordedCommand("http"),
			"program":  recordedCommand("program"),
			"call":     recordedCommand("call"),
			"get":      recordedCommand("get"),
			"raw":      recordedCommand("raw"),
			"keys":     recordedCommand("keys"),
			"secret":   recordedCommand("secret"),
			"same":     recordedCommand("same"),
		},
	})
}

type sessionKey struct{}

// session holds the processes, stub backend servers, variables and transcript of one script.
type session struct {
	dir, root  string
	ip         string
	client     *http.Client
	processes  map[string]*process
	names      []string
	addrs      map[string]string
	ports      map[string]bool
	backends   map[string]*backend
	runCounter runCounter
	saved      map[string]string
	pending    map[string]chan string
	wg         sync.WaitGroup
	scrubber   scrubber
	transcript strings.Builder
}

func newSession(dir, root string) *session {
	return &session{
		dir: dir, root: root, ip: crtest.Host(), client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		processes: map[string]*process{}, addrs: map[string]string{}, ports: map[string]bool{}, backends: map[string]*backend{},
		saved: map[string]string{}, pending: map[string]chan string{}, scrubber: newScrubber(dir),
	}
}

// close stops all processes and backend servers that the script started.
func (s *session) close() {
	for _, p := range s.processes {
		p.kill()
	}
	for _, b := range s.backends {
		b.stop()
	}
	s.wg.Wait()
	s.client.CloseIdleConnections()
}

// scriptCommand returns a script command that runs f. Only f itself writes into the transcript.
func scriptCommand(f func(*session, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, _ bool, args []string) {
		s := ts.Value(sessionKey{}).(*session)
		if err := f(s, args); err != nil {
			ts.Fatalf("%v\ntranscript so far:\n%s", err, s.transcript.String())
		}
		ts.Check(s.flush())
	}
}

// recordedCommand returns a script command that writes its command line and output into the transcript.
func recordedCommand(name string) func(*testscript.TestScript, bool, []string) {
	return scriptCommand(func(s *session, args []string) error {
		out, err := s.runCommand(name, args)
		if err != nil {
			return err
		}
		s.write("> " + s.quoted(name, args) + "\n" + out)
		return nil
	})
}

// runCommand runs the named command and returns its output, without writing into the transcript.
func (s *session) runCommand(name string, args []string) (string, error) {
	probes := map[string]func([]string) (string, error){
		"ctl": s.ctl, "script": s.script, "http": s.http, "program": s.program, "call": s.call, "get": s.get, "raw": s.raw,
		"keys": s.keys, "secret": s.secretAbsent, "same": s.compareChannels, "log": s.log, "backend": s.backendState, "dump": s.dump,
	}
	f, ok := probes[name]
	if !ok {
		return "", fmt.Errorf("no command %q", name)
	}
	return f(s.expand(args))
}

// expand replaces {NAME} in the arguments by the variable or the address of that name.
func (s *session) expand(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		for k, v := range s.saved {
			a = strings.ReplaceAll(a, "{"+k+"}", v)
		}
		for k, v := range s.addrs {
			a = strings.ReplaceAll(a, "{"+k+"}", v)
		}
		out[i] = a
	}
	return out
}

func (s *session) quoted(name string, args []string) string {
	out := []string{name}
	for _, a := range args {
		if a == "" || strings.ContainsAny(a, " \t|*") {
			a = "'" + a + "'"
		}
		out = append(out, a)
	}
	return strings.Join(out, " ")
}

// write appends text to the transcript, with values that differ between runs replaced by placeholders.
func (s *session) write(text string) {
	s.transcript.WriteString(strings.TrimRight(s.scrubber.scrub(text, s.addrs), "\n") + "\n\n")
}

func (s *session) flush() error {
	return os.WriteFile(s.dir+"/transcript", []byte(s.transcript.String()), 0o600)
}

// say writes its arguments as a comment line into the transcript.
func (s *session) say(args []string) error {
	s.write("# " + strings.Join(args, " "))
	return nil
}

// until repeats a command until its output matches PATTERN: until PATTERN COMMAND ARGS...
func (s *session) until(args []string) error {
	re, err := regexp.Compile("(?s)" + s.expand(args[:1])[0])
	if err != nil {
		return err
	}
	last := ""
	err = poll(func() (bool, error) {
		out, err := s.runCommand(args[1], args[2:])
		last = out
		return err == nil && re.MatchString(out), err
	})
	if err != nil {
		return fmt.Errorf("until %q: %w; last output:\n%s", args, err, last)
	}
	s.write("> " + s.quoted("until", args))
	return nil
}

// never repeats a command until its output matches PATTERN and fails if the output matches BAD before that:
// never BAD PATTERN COMMAND ARGS...
func (s *session) never(args []string) error {
	bad, err := regexp.Compile(args[0])
	if err != nil {
		return err
	}
	good, err := regexp.Compile(args[1])
	if err != nil {
		return err
	}
	s.write("> " + s.quoted("never", args))
	var seen error
	err = poll(func() (bool, error) {
		out, err := s.runCommand(args[2], args[3:])
		if bad.MatchString(out) {
			seen = fmt.Errorf("%q gave:\n%s", args, out)
		}
		return seen != nil || err == nil && good.MatchString(out), err
	})
	return errors.Join(seen, err)
}

// poll calls f until it reports true or waitLimit has passed. The error it then returns contains the last error of f.
func poll(f func() (bool, error)) error {
	deadline := time.Now().Add(waitLimit)
	for {
		ok, err := f()
		if ok {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("the condition did not hold within %s (%v)", waitLimit, err)
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// now stores the current time in Unix milliseconds as the variable now, for use in command ids.
func (s *session) now([]string) error {
	s.saved["now"] = fmt.Sprint(time.Now().UnixMilli())
	return nil
}

// leader waits until one of the running control instances is the leader: leader NAME. It stores the name of the leader as the
// variable NAME and the name of another running control instance as the variable other.
func (s *session) leader(args []string) error {
	var found string
	err := poll(func() (bool, error) {
		found = ""
		for _, name := range s.names {
			if out, err := s.dump([]string{name}); s.runs(name) && err == nil && strings.Contains(out, `"in_charge": true`) {
				found = name
			}
		}
		return found != "", nil
	})
	if err != nil {
		return err
	}
	s.saved[args[0]] = found
	for _, name := range s.names {
		if name != found && s.runs(name) {
			s.saved["other"] = name
		}
	}
	s.write("> leader " + args[0])
	return nil
}

// save repeats a command until its output matches PATTERN and stores the first group as the variable NAME:
// save NAME PATTERN COMMAND ARGS...
func (s *session) save(args []string) error {
	re, err := regexp.Compile(args[1])
	if err != nil {
		return err
	}
	s.write("> " + s.quoted("save", args))
	return poll(func() (bool, error) {
		out, err := s.runCommand(args[2], args[3:])
		if m := re.FindStringSubmatch(out); err == nil && m != nil {
			s.saved[args[0]] = m[1]
			return true, nil
		}
		return false, fmt.Errorf("%v; last output: %s", err, out)
	})
}

// refused runs a command that must be refused, with any code, and fails if it is accepted: refused COMMAND ARGS...
func (s *session) refused(args []string) error {
	out, err := s.runCommand(args[0], args[1:])
	if err != nil {
		return err
	}
	if strings.Contains(out, "Citronramp-Code: 100\n") || !strings.Contains(out, "Citronramp-Code: ") {
		return fmt.Errorf("%q was not refused:\n%s", args, out)
	}
	s.write("> " + s.quoted("refused", args))
	return nil
}
