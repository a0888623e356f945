package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"time"
)

const (
	// logDir holds one file with the output of each run in which a test failed.
	logDir = "out/ci"
	// maxLogs is the number of files that are kept.
	maxLogs = 40
)

// runLogged calls play and also writes its output to a file. The file is kept if a test failed, whether listed or not.
func runLogged(dir string, now time.Time, out io.Writer, play func(io.Writer) (bool, error)) (ok bool, err error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return false, err
	}
	name := filepath.Join(dir, now.UTC().Format("20060102T150405.000000")+".log")
	f, err := os.Create(name)
	if err != nil {
		return false, err
	}
	ok, err = play(io.MultiWriter(out, f))
	if closed := f.Close(); closed != nil {
		return ok, errors.Join(err, closed)
	}
	text, readErr := os.ReadFile(name)
	if readErr != nil {
		return ok, errors.Join(err, readErr)
	}
	if ok && err == nil && !bytes.Contains(text, []byte("FAILED")) {
		return ok, os.Remove(name)
	}
	_, _ = fmt.Fprintln(out, "the output stays in", name)
	return ok, errors.Join(err, prune(dir))
}

// prune removes the oldest files, so that maxLogs are left.
func prune(dir string) error {
	names, err := filepath.Glob(filepath.Join(dir, "*.log"))
	if err != nil {
		return err
	}
	slices.Sort(names)
	for _, name := range names[:max(0, len(names)-maxLogs)] {
		err = errors.Join(err, os.Remove(name))
	}
	return err
}
