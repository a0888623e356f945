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

// process is one process of the system with its settings; it may be started again.
type process struct {
	program, role string
	settings      platform.Settings
	dir           string

	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
	termed  time.Time
	started int
}

func (p *process) file(kind string) string {
	return filepath.Join(p.dir, p.settings.NodeName+kind)
}

// begin starts the process; only the very first start of the system founds it.
func (p *process) begin() error {
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
	// The process must not outlive the soak.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		// The exit code of a process that was killed tells nothing; others show in its log.
		_ = cmd.Wait()
	}()
	p.cmd, p.done, p.termed = cmd, done, time.Time{}
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
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // it may have ended by itself
	<-done
}

// stop asks the process to end and reports whether it did within the grace time.
func (p *process) stop() (bool, error) {
	p.mu.Lock()
	p.termed = time.Now()
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

// stopping reports whether the process was asked to end.
func (p *process) stopping() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.termed.IsZero()
}
