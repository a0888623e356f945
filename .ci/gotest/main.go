// Command gotest runs the tests of the module and compares the failures with KNOWN-RED.txt. A listed test may fail and is
// printed. Any other failure fails the run, as does a listed test that does not exist or was skipped. The arguments are passed
// to go test; the default is ./...
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"time"
)

const listFile = "KNOWN-RED.txt"

func main() {
	ok, err := runLogged(logDir, time.Now(), os.Stdout, func(out io.Writer) (bool, error) { return run(os.Args[1:], out) })
	if err != nil {
		fmt.Println("gotest:", err)
	}
	if err != nil || !ok {
		os.Exit(1)
	}
}

// run runs go test and reports whether only listed tests failed.
func run(args []string, out io.Writer) (bool, error) {
	module, err := exec.Command("go", "list", "-m").Output()
	if err != nil {
		return false, fmt.Errorf("go list -m: %w", err)
	}
	f, err := os.Open(listFile)
	if err != nil {
		return false, err
	}
	known, err := readList(f, strings.TrimSpace(string(module)))
	_ = f.Close()
	if err != nil {
		return false, err
	}
	if len(args) == 0 {
		args = []string{"./..."}
	}
	cmd := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	cmd.Stderr = os.Stderr
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return false, err
	}
	if err := cmd.Start(); err != nil {
		return false, err
	}
	r := newResults(out)
	lines := bufio.NewReader(stdout)
	for {
		line, err := lines.ReadBytes('\n')
		if len(line) > 0 {
			r.add(line)
		}
		if err != nil {
			break
		}
	}
	return r.finish(known, cmd.Wait()), nil
}
