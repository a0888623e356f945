package crcli_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"time"
)

// execute runs citronramp until it exits and returns its output, followed by a line with the exit code if that is not 0.
func (s *session) execute(stdin io.Reader, args ...string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	cmd := exec.CommandContext(ctx, "citronramp", args...)
	cmd.Dir, cmd.Stdin = s.dir, stdin
	out, err := cmd.CombinedOutput()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		return fmt.Sprintf("%sexit code %d\n", out, exit.ExitCode()), nil
	}
	return string(out), err
}

// program runs citronramp with the given arguments: program ARG...
func (s *session) program(args []string) (string, error) { return s.execute(nil, args...) }

// ctl sends one operator command, passed as arguments of citronramp ctl: ctl CONTROL WORD...
func (s *session) ctl(args []string) (string, error) {
	return s.execute(nil, append([]string{"ctl", "--settings", args[0] + ".toml", "--as", "amina"}, args[1:]...)...)
}

// script sends the lines of a file to the standard input of citronramp ctl: script CONTROL FILE.
func (s *session) script(args []string) (string, error) {
	f, err := os.Open(filepath.Join(s.dir, args[1]))
	if err != nil {
		return "", err
	}
	defer func() { _ = f.Close() }()
	return s.execute(f, "ctl", "--settings", args[0]+".toml", "--as", "amina")
}

// http sends one operator command over HTTP, with a wrong secret if wrong is given: http CONTROL [json] [wrong] COMMAND.
func (s *session) http(args []string) (string, error) {
	key, accept := secret, "text/plain"
	line := args[len(args)-1]
	for _, a := range args[1 : len(args)-1] {
		switch a {
		case "json":
			accept = "application/json"
		case "wrong":
			key = "some-other-secret-0000"
		}
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+s.addrs[args[0]+".operator"]+"/v1/command", strings.NewReader(line))
	if err != nil {
		return "", err
	}
	req.Header = http.Header{"Authorization": {"Bearer " + key}, "Accept": {accept}, "Citronramp-Operator": {"amina"}}
	return s.exchange(req, true)
}

// exchange sends a request and returns the body; if verbose is set, the status and the headers of citronramp precede it.
func (s *session) exchange(req *http.Request, verbose bool) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	resp, err := s.client.Do(req.WithContext(ctx))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || !verbose {
		return string(body), err
	}
	out := fmt.Sprintf("%d\n", resp.StatusCode)
	for _, k := range sortedKeys(resp.Header) {
		if strings.HasPrefix(k, "Citronramp-") || k == "Retry-After" {
			out += k + ": " + strings.Join(resp.Header[k], ", ") + "\n"
		}
	}
	return out + string(body), nil
}

func sortedKeys[V any](m map[string]V) []string {
	out := make([]string, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// get sends a GET request: get [-save NAME] ADDRESS PATH. With -save the trimmed body is stored as the variable NAME.
func (s *session) get(args []string) (string, error) {
	name := ""
	if args[0] == "-save" {
		name, args = args[1], args[2:]
	}
	req, err := http.NewRequest(http.MethodGet, "http://"+s.addrs[s.expand(args)[0]]+args[1], nil)
	if err != nil {
		return "", err
	}
	out, err := s.exchange(req, name == "")
	if name != "" && err == nil {
		s.saved[name] = strings.TrimSpace(out)
	}
	return out, err
}

// call sends a request as a client: call [-h HEADER]... [-size BYTES] [-new NODE] [-later NAME] NODE SERVICE/KIND [BODY].
// With -new a node issues the request id; with -later the call runs in the background and the command answer waits for it.
func (s *session) call(args []string) (string, error) {
	header, body, later := http.Header{}, "", ""
	for strings.HasPrefix(args[0], "-") {
		switch args[0] {
		case "-h":
			k, v, _ := strings.Cut(args[1], ": ")
			header.Add(k, v)
		case "-size":
			n := 0
			if _, err := fmt.Sscan(args[1], &n); err != nil {
				return "", err
			}
			body = strings.Repeat("x", n)
		case "-new":
			if _, err := s.get([]string{"-save", "new", args[1] + ".listen", "/v1/id"}); err != nil {
				return "", err
			}
			header.Add("Citronramp-Request-Id", s.saved["new"])
		case "-later":
			later = args[1]
		default:
			return "", fmt.Errorf("call has no option %s", args[0])
		}
		args = args[2:]
	}
	if len(args) > 2 {
		body = args[2]
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+s.addrs[args[0]+".listen"]+"/v1/call/"+args[1], strings.NewReader(body))
	if err != nil {
		return "", err
	}
	req.Header = header
	if later == "" {
		return s.exchange(req, true)
	}
	got := make(chan string, 1)
	s.pending[later] = got
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		out, err := s.exchange(req, true)
		if err != nil {
			out = err.Error()
		}
		got <- out
	}()
	return "", nil
}

// answer waits for a call that was sent with -later and writes its result into the transcript.
func (s *session) answer(args []string) error {
	select {
	case out := <-s.pending[args[0]]:
		s.write("> answer " + args[0] + "\n" + out)
		return nil
	case <-time.After(waitLimit):
		return fmt.Errorf("no answer for %s", args[0])
	}
}

// raw sends bytes to an address and returns the first line of the HTTP response, or closed if the connection ends without one.
func (s *session) raw(args []string) (string, error) {
	conn, err := net.DialTimeout("tcp", s.addrs[args[0]], waitLimit)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(waitLimit))
	if _, err := io.WriteString(conn, strings.NewReplacer(`\r`, "\r", `\n`, "\n", `\0`, "\x00").Replace(args[1])); err != nil {
		return "", err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	back, err := io.ReadAll(conn)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return "", errors.New("the connection was not closed")
	}
	line, _, _ := strings.Cut(string(back), "\r\n")
	if !strings.HasPrefix(line, "HTTP/") {
		line = "closed"
	}
	return line + "\n", nil
}

// dump returns the state dump of a process, or its counters: dump NAME [counters].
func (s *session) dump(args []string) (string, error) {
	flags := []string{"dump"}
	if len(args) > 1 {
		flags = append(flags, "--counters")
	}
	return s.execute(nil, append(flags, s.addrs[args[0]+".admin"])...)
}

// keys returns the sorted keys of the state dump or of the counters, without the values: keys NAME [counters].
func (s *session) keys(args []string) (string, error) {
	out, err := s.dump(args)
	if err != nil {
		return "", err
	}
	var tree any
	if err := json.Unmarshal([]byte(out), &tree); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	var keys []string
	collectKeys("", tree, &keys)
	sort.Strings(keys)
	return strings.Join(slices.Compact(keys), "\n") + "\n", nil
}

func collectKeys(prefix string, v any, keys *[]string) {
	switch x := v.(type) {
	case map[string]any:
		for k, sub := range x {
			*keys = append(*keys, prefix+k)
			collectKeys(prefix+k+".", sub, keys)
		}
	case []any:
		for _, sub := range x {
			collectKeys(prefix, sub, keys)
		}
	}
}

// log returns the log output of a process: log NAME.
func (s *session) log(args []string) (string, error) {
	b, err := os.ReadFile(filepath.Join(s.dir, args[0]+".log"))
	return string(b), err
}

// secretAbsent fails if the dump, the counters or the log of a process contains the shared secret: secret NAME...
func (s *session) secretAbsent(args []string) (string, error) {
	for _, name := range args {
		for _, f := range []func() (string, error){
			func() (string, error) { return s.dump([]string{name}) },
			func() (string, error) { return s.dump([]string{name, "counters"}) },
			func() (string, error) { return s.log([]string{name}) },
		} {
			out, err := f()
			if err != nil || out == "" {
				return "", fmt.Errorf("%s: nothing to look at (%v)", name, err)
			}
			if strings.Contains(out, secret) {
				return "", fmt.Errorf("%s shows the secret: %s", name, out)
			}
		}
	}
	return "absent\n", nil
}

// compareChannels sends a command as an argument, on standard input and over HTTP, and fails if the answers differ. The
// command must be read-only or refused, since it runs three times.
func (s *session) compareChannels(args []string) (string, error) {
	byArgument, err := s.ctl(args)
	if err != nil {
		return "", err
	}
	if err := os.WriteFile(filepath.Join(s.dir, "line"), []byte(args[1]+"\n"), 0o600); err != nil {
		return "", err
	}
	byScript, err := s.script([]string{args[0], "line"})
	if err != nil {
		return "", err
	}
	if byScript != byArgument {
		return "", fmt.Errorf("by argument:\n%s\nby script:\n%s", byArgument, byScript)
	}
	byHTTP, err := s.http(args)
	if err != nil {
		return "", err
	}
	_, body, _ := strings.Cut(byHTTP, "Citronramp-Code: ")
	_, body, _ = strings.Cut(body, "\n")
	if text, _, _ := strings.Cut(byArgument, "exit code"); text != body {
		return "", fmt.Errorf("by argument:\n%s\nby HTTP:\n%s", text, body)
	}
	return byHTTP, nil
}
