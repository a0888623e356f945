package crcli_test

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"

	"github.com/citronramp/citronramp/internal/crsettings"
)

// secret is the shared secret of every session; no output may contain it.
const secret = "session-secret-0123456789"

// process is a citronramp process that the session started.
type process struct {
	name string
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	code int
}

func (p *process) kill() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// port reserves an address with a port that the kernel assigned and stores it under name.
func (s *session) port(name string) (string, error) {
	for range 100 {
		ln, err := net.Listen("tcp", s.ip+":0")
		if err != nil {
			return "", err
		}
		addr := ln.Addr().String()
		_ = ln.Close()
		// Only ports of five digits are used, so that the column widths of tables are equal in every run.
		if !s.ports[addr] && len(addr) == len(s.ip)+6 {
			s.ports[addr], s.addrs[name] = true, addr
			return addr, nil
		}
	}
	return "", errors.New("the kernel assigned no new port")
}

// settings writes settings files: settings control NAME...; settings joining NAME; settings node NAME SERVICE DOMAIN
// [KEY=VALUE...].
func (s *session) settings(args []string) error {
	if args[0] == "node" {
		return s.nodeSettings(args[1], args[2], args[3], args[4:])
	}
	for _, name := range args[1:] {
		for _, a := range []string{"inner", "operator", "admin"} {
			if _, err := s.port(name + "." + a); err != nil {
				return err
			}
		}
	}
	var members, joins string
	if args[0] == "joining" {
		joins = fmt.Sprintf("join = [%s]\n", s.controls())
	} else if len(args) > 2 {
		for _, name := range args[1:] {
			members += fmt.Sprintf("\n[[control.members]]\nname = %q\ninner = %q\n", name, s.addrs[name+".inner"])
		}
	}
	for _, name := range args[1:] {
		s.names = append(s.names, name)
		text := fmt.Sprintf("[control]\nname = %q\ndomain = \"a\"\nregion = \"nyanda\"\ninner = %q\noperator = %q\nadmin = %q\ndata_dir = %q\nsecret = %q\n%s%s",
			name, s.addrs[name+".inner"], s.addrs[name+".operator"], s.addrs[name+".admin"], filepath.Join(s.dir, name+".data"), secret, joins, members)
		if err := os.WriteFile(s.file(name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// controls returns the inner addresses of all control instances that have settings, as the elements of a TOML array.
func (s *session) controls() string {
	var out []string
	for _, n := range s.names {
		out = append(out, fmt.Sprintf("%q", s.addrs[n+".inner"]))
	}
	return strings.Join(out, ", ")
}

func (s *session) nodeSettings(name, service, domain string, extra []string) error {
	for _, a := range []string{"listen", "inner", "admin"} {
		if _, err := s.port(name + "." + a); err != nil {
			return err
		}
	}
	text := fmt.Sprintf("[node]\nname = %q\ndomain = %q\nregion = \"nyanda\"\nservice = %q\nlisten = %q\ninner = %q\nadmin = %q\ncontrol = [%s]\n",
		name, domain, service, s.addrs[name+".listen"], s.addrs[name+".inner"], s.addrs[name+".admin"], s.controls())
	key := fmt.Sprintf("secret = %q\n", secret)
	for _, e := range extra {
		k, v, _ := strings.Cut(e, "=")
		if k == "secret" {
			key = ""
		}
		text += k + " = " + v + "\n"
	}
	return os.WriteFile(s.file(name), []byte(text+key), 0o600)
}

func (s *session) file(name string) string { return filepath.Join(s.dir, name+".toml") }

// start starts a citronramp process: start control|node NAME [FLAG...].
func (s *session) start(args []string) error {
	line := s.quoted("start", args)
	args = s.expand(args)
	name := args[1]
	if s.runs(name) {
		return fmt.Errorf("%s still runs", name)
	}
	log, err := os.OpenFile(filepath.Join(s.dir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("citronramp", append([]string{args[0], "--settings", s.file(name)}, args[2:]...)...)
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append(os.Environ(), "GOMAXPROCS=2")
	if err := cmd.Start(); err != nil {
		return err
	}
	p := &process{name: name, cmd: cmd, log: log, done: make(chan struct{})}
	s.processes[name] = p
	go func() {
		defer close(p.done)
		_ = cmd.Wait()
		p.code = cmd.ProcessState.ExitCode()
		_ = log.Close()
	}()
	s.write("> " + line)
	return nil
}

var signals = map[string]syscall.Signal{"TERM": syscall.SIGTERM, "INT": syscall.SIGINT, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "KILL": syscall.SIGKILL}

// signal sends a signal to a process that this session started: signal NAME SIGNAL.
func (s *session) signal(args []string) error {
	p, sig := s.processes[s.expand(args)[0]], signals[args[1]]
	if p == nil || sig == 0 {
		return fmt.Errorf("signal needs a started process and one of TERM, INT, STOP, CONT and KILL, not %q", args)
	}
	s.write("> " + s.quoted("signal", args))
	return p.cmd.Process.Signal(sig)
}

// exited waits until the named processes have exited, checks their logs for data races and writes their exit codes into the
// transcript: exited NAME...
func (s *session) exited(args []string) error {
	for i, name := range s.expand(args) {
		p := s.processes[name]
		if p == nil {
			return fmt.Errorf("%s was not started", name)
		}
		select {
		case <-p.done:
		case <-time.After(waitLimit):
			return fmt.Errorf("%s did not end", name)
		}
		if log, err := s.log([]string{name}); err != nil || strings.Contains(log, "DATA RACE") {
			return fmt.Errorf("%s has a data race (%v):\n%s", name, err, log)
		}
		s.write(fmt.Sprintf("> exited %s\ncode %d", args[i], p.code))
	}
	return nil
}

// folder removes, restores or backs up the data folder of a control instance: folder remove|restore NAME; folder backup NAME
// [OTHER]. With OTHER, the copy becomes the data folder of the control instance OTHER.
func (s *session) folder(args []string) error {
	s.write("> " + s.quoted("folder", args))
	args = s.expand(args)
	data, copied := filepath.Join(s.dir, args[1]+".data"), filepath.Join(s.dir, args[1]+".backup")
	switch args[0] {
	case "remove":
		return os.RemoveAll(data)
	case "backup":
		if len(args) > 2 {
			copied = filepath.Join(s.dir, args[2]+".data")
		}
		return os.CopyFS(copied, os.DirFS(data))
	case "restore":
		return os.CopyFS(data, os.DirFS(copied))
	}
	return fmt.Errorf("folder takes remove, backup or restore, not %q", args[0])
}

// runs reports whether the process was started and has not exited.
func (s *session) runs(name string) bool {
	p, ok := s.processes[name]
	if !ok {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

var exampleAddress = regexp.MustCompile(`127\.0\.0\.1:(\d{4})`)

// example writes the settings files of docs/examples for the processes that they name: example FILE... Each port is replaced by
// one that the kernel assigned, the same in all files, and data folders are moved into the folder of the session.
func (s *session) example(args []string) error {
	for _, file := range args {
		text, err := os.ReadFile(filepath.Join(s.root, "docs", "examples", file))
		if err != nil {
			return err
		}
		for _, m := range exampleAddress.FindAllStringSubmatch(string(text), -1) {
			if s.addrs["port "+m[1]] == "" {
				if _, err := s.port("port " + m[1]); err != nil {
					return err
				}
			}
		}
		out := exampleAddress.ReplaceAllStringFunc(string(text), func(a string) string {
			return s.addrs["port "+strings.TrimPrefix(a, "127.0.0.1:")]
		})
		if err := s.writeExampleSettings(strings.ReplaceAll(out, `data_dir = "out`, `data_dir = "`+s.dir)); err != nil {
			return err
		}
	}
	return nil
}

// writeExampleSettings writes a settings file for each process that text configures and stores the addresses.
func (s *session) writeExampleSettings(text string) error {
	set, err := crsettings.Parse("example", []byte(text))
	if err != nil {
		return err
	}
	if c := set.Control; c != nil {
		s.names = append(s.names, c.Name)
		s.addrs[c.Name+".inner"], s.addrs[c.Name+".operator"], s.addrs[c.Name+".admin"] = c.Inner, c.Operator, c.Admin
		if err := os.WriteFile(s.file(c.Name), []byte(text), 0o600); err != nil {
			return err
		}
	}
	if n := set.Node; n != nil {
		s.addrs[n.Name+".listen"], s.addrs[n.Name+".inner"], s.addrs[n.Name+".admin"] = n.Listen, n.Inner, n.Admin
		return os.WriteFile(s.file(n.Name), []byte(text), 0o600)
	}
	return nil
}
