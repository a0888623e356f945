// Command standin plays the cases of the review that are scripts. It starts the project's programs as separate processes on
// loopback addresses and holds the clients, the application servers, the operator and the platform around them.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play runs a case; it reports whether the rule was broken, or an error if the case could not run.
type play func(r *record, trouble bool) (broken bool, err error)

var cases = map[string]play{
	"stop":      playStop,
	"slow":      playSlowReader,
	"departure": playDeparture,
	"early":     playEarly,
	"upload":    playUpload,
}

func main() { os.Exit(mainCode(os.Args)) }

func mainCode(args []string) int {
	if len(args) != 3 || cases[args[1]] == nil {
		fmt.Println("usage: review-standin CASE FOLDER")
		return exitNotRun
	}
	out, err := os.Create(filepath.Join(args[2], "record.txt"))
	if err != nil {
		fmt.Println(err)
		return exitNotRun
	}
	defer func() { _ = out.Close() }()
	r := &record{out: out, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.printf("case %s, disruption %t", args[1], trouble)
	broken, err := cases[args[1]](r, trouble)
	switch {
	case err != nil:
		r.printf("could not run: %v", err)
		fmt.Println("could not run:", err)
		return exitNotRun
	case broken:
		r.printf("the rule was broken")
		fmt.Println("the rule was broken; see record.txt")
		return exitBroken
	}
	r.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
