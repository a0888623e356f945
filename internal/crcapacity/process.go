package crcapacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/citronramp/citronramp/internal/crsettings"
)

// process runs a subcommand of this executable as a separate process until c.ctx ends. The text is the content of its settings
// file.
func (c *cluster) process(name, text string, args ...string) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	file := filepath.Join(c.dir, name+".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	cmd := exec.CommandContext(c.ctx, self, append(args, "--settings", file)...)
	cmd.Cancel = func() error { return cmd.Process.Signal(syscall.SIGTERM) }
	cmd.WaitDelay = 2 * stopTimeout
	if err := cmd.Start(); err != nil {
		return err
	}
	c.pids = append(c.pids, cmd.Process.Pid)
	c.wg.Go(func() { _ = cmd.Wait() })
	return nil
}

// closeListeners closes the listeners, so that another process can listen on their addresses.
func closeListeners(lns []net.Listener) {
	for _, ln := range lns {
		_ = ln.Close()
	}
}

func controlSettings(s crsettings.Control) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[control]\nname = %q\ndomain = %q\nregion = %q\ninner = %q\noperator = %q\nadmin = %q\ndata_dir = %q\nsecret = %q\n",
		s.Name, s.Domain, s.Region, s.Inner, s.Operator, s.Admin, s.DataDir, s.Secret)
	for _, m := range s.Members {
		fmt.Fprintf(&b, "[[control.members]]\nname = %q\ninner = %q\n", m.Name, m.Inner)
	}
	return b.String()
}

func nodeSettings(s crsettings.Node) string {
	return fmt.Sprintf("[node]\nname = %q\ndomain = %q\nregion = %q\nservice = %q\nlisten = %q\ninner = %q\nadmin = %q\ncontrol = [\"%s\"]\nsecret = %q\n",
		s.Name, s.Domain, s.Region, s.Service, s.Listen, s.Inner, s.Admin, strings.Join(s.Control, `", "`), s.Secret)
}

// requestIDPrefix returns the prefix of the request ids that a node issues.
func requestIDPrefix(ctx context.Context, listen string) (string, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+listen+"/v1/entrances", nil)
	if err != nil {
		return "", err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	var body struct {
		Prefix string `json:"prefix"`
	}
	return body.Prefix, json.NewDecoder(resp.Body).Decode(&body)
}

// processCPU returns the processor time of a process from /proc, with a resolution of 10 ms.
func processCPU(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The command name ends with a bracket; the first field after it is field 3 of the line.
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	if len(f) < 13 {
		return 0, fmt.Errorf("process %d: short stat", pid)
	}
	var user, system int64
	if _, err := fmt.Sscan(f[11]+" "+f[12], &user, &system); err != nil {
		return 0, err
	}
	return time.Duration(user+system) * 10 * time.Millisecond, nil
}

// processMemory returns the resident memory of a process in MB.
func processMemory(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	var kb float64
	_, err = fmt.Sscan(rest, &kb)
	return kb / 1000, err
}
