package crsoak

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/citronramp/citronramp/platform"
)

// process is one process of the system with its settings; it can be restarted. termSent is when it was sent SIGTERM.
type process struct {
	program, role string
	settings      platform.Settings
	dir           string

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	termSent time.Time
	// ending is set when the soak ends the process.
	ending  bool
	started int
}

func (p *process) file(kind string) string {
	return filepath.Join(p.dir, p.settings.NodeName+kind)
}

// start starts the process; only the first start of each process is a bootstrap of a new cluster.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settings.Bootstrap = p.started == 0
	p.started++
	text, err := p.settings.Encode()
	if err != nil {
		return err
	}
	if err := os.WriteFile(p.file(".toml"), text, 0o600); err != nil {
		return err
	}
	if err := os.MkdirAll(p.settings.DataDir, 0o700); err != nil {
		return err
	}
	log, err := os.OpenFile(p.file(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.program, "platform", p.role, "--settings", p.file(".toml"))
	cmd.Stdout, cmd.Stderr = log, log
	// The kernel kills the process when the soak ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		// The error is ignored: a killed process has no meaningful exit code; other failures are in the process's log.
		_ = cmd.Wait()
	}()
	p.cmd, p.done, p.termSent, p.ending = cmd, done, time.Time{}, false
	return nil
}

func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return fmt.Errorf("%s does not run", p.settings.NodeName)
	}
	return p.cmd.Process.Signal(s)
}

// kill ends the process at once and waits for its end.
func (p *process) kill() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.ending = true
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // the process may have ended already
	<-done
}

// stop sends SIGTERM and reports whether the process ended within the grace time; otherwise it kills the process.
func (p *process) stop() (bool, error) {
	p.mu.Lock()
	p.termSent, p.ending = time.Now(), true
	done := p.done
	p.mu.Unlock()
	if err := p.signal(syscall.SIGTERM); err != nil {
		return false, err
	}
	select {
	case <-done:
		return true, nil
	case <-time.After(graceTime):
		p.kill()
		return false, nil
	}
}

// stopping reports whether the process was sent SIGTERM since its last start.
func (p *process) stopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.termSent.IsZero()
}
