// Command probe shows faults of citronramp with real processes. It plays one case: it starts the processes of a small deployment,
// stand-ins for servers, clients and the operator, and exits with 1 if a rule was broken, 0 if it held, and 2 if the case could
// not run.
package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// playTime bounds a case.
const playTime = 110 * time.Second

// play plays a case and returns how often its rule was broken; allowed is how often the rule allows it.
type play func(ctx context.Context, d *deployment, trouble bool) (broken int, err error)

var cases = map[string]struct {
	play    play
	allowed int
}{
	"slow-server":   {slowServer, 0},
	"hedge":         {hedgedAnswers, 3},
	"failed-answer": {failedAnswers, 3},
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 3 {
		_, _ = fmt.Fprintln(os.Stderr, "usage: probe CASE PROGRAM RECORD")
		return exitNotRun
	}
	c, ok := cases[args[0]]
	if !ok {
		_, _ = fmt.Fprintln(os.Stderr, "no such case")
		return exitNotRun
	}
	broken, err := playCase(c.play, args[1], args[2])
	switch {
	case err != nil:
		_, _ = fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	case broken > c.allowed:
		fmt.Printf("broken: %d, allowed: %d\n", broken, c.allowed)
		return exitBroken
	}
	fmt.Printf("held: %d, allowed: %d\n", broken, c.allowed)
	return exitHeld
}

func playCase(p play, program, recordName string) (broken int, err error) {
	program, err = filepath.Abs(program)
	if err != nil {
		return 0, err
	}
	file, err := os.Create(recordName)
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }()
	dir, err := os.MkdirTemp("", "probe")
	if err != nil {
		return 0, err
	}
	defer func() {
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(dir)
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), playTime)
	defer cancel()
	rec := &record{file: file, begin: time.Now()}
	d, err := newDeployment(program, dir, rec)
	if err != nil {
		return 0, err
	}
	defer d.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("trouble: %t", trouble)
	broken, err = p(ctx, d, trouble)
	rec.add("broken: %d, error: %v", broken, err)
	return broken, err
}
