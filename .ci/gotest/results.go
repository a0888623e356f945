package main

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"regexp"
	"slices"
	"strings"
)

// test identifies a top-level test, or a package if the name is empty.
type test struct{ pkg, name string }

func (t test) String() string { return strings.TrimSpace(t.pkg + " " + t.name) }

func compare(a, b test) int { return cmp.Or(cmp.Compare(a.pkg, b.pkg), cmp.Compare(a.name, b.name)) }

var entryPattern = regexp.MustCompile(`^((?:Test|Fuzz|Example)\w*) \(([\w./-]+)\)$`)

// readList reads the listed tests. An entry starts with "TestName (package/path)"; its other lines are indented.
func readList(r io.Reader, module string) (map[test]bool, error) {
	known := map[test]bool{}
	s := bufio.NewScanner(r)
	for n := 1; s.Scan(); n++ {
		line := s.Text()
		if line == "" || line[0] == ' ' {
			continue
		}
		m := entryPattern.FindStringSubmatch(line)
		if m == nil {
			return nil, fmt.Errorf("%s:%d: write the entry as: TestName (package/path)", listFile, n)
		}
		known[test{module + "/" + m[2], m[1]}] = true
	}
	return known, s.Err()
}

// event is one line of the output of go test -json.
type event struct {
	Action, Package, Test, Output string
}

// results collects the events of a run.
type results struct {
	out io.Writer
	// outcomes holds pass, fail or skip for each test that ended; started contains the tests that have started.
	outcomes map[test]string
	started  map[test]bool
	// failedPackages contains the packages that failed, abortedPackages those that ended before all of their tests had run.
	failedPackages, abortedPackages map[string]bool
	output                          map[test]*strings.Builder
}

func newResults(out io.Writer) *results {
	return &results{
		out: out, outcomes: map[test]string{}, started: map[test]bool{}, failedPackages: map[string]bool{}, abortedPackages: map[string]bool{},
		output: map[test]*strings.Builder{},
	}
}

// abortLine matches the first line of a panic, a fatal error or a test timeout, after which the remaining tests do not run.
var abortLine = regexp.MustCompile(`^(panic: |fatal error: |signal: |\*\*\* Test killed)`)

// add processes one line of output. A line that is not an event is printed.
func (r *results) add(line []byte) {
	var e event
	if json.Unmarshal(line, &e) != nil || e.Action == "" {
		_, _ = r.out.Write(line)
		return
	}
	top, _, sub := strings.Cut(e.Test, "/")
	t := test{e.Package, top}
	switch e.Action {
	case "build-output":
		_, _ = io.WriteString(r.out, e.Output)
	case "output":
		if r.output[t] == nil {
			r.output[t] = &strings.Builder{}
		}
		r.output[t].WriteString(e.Output)
		if abortLine.MatchString(e.Output) {
			r.abortedPackages[e.Package] = true
		}
	case "run":
		r.started[t] = true
	case "pass", "fail", "skip":
		switch {
		case top == "":
			if e.Action == "fail" {
				r.failedPackages[e.Package] = true
			}
			_, _ = fmt.Fprintln(r.out, e.Action, e.Package)
		case !sub:
			r.outcomes[t] = e.Action
		}
	}
}

// unlisted returns the failed tests that are not in known, and the packages that failed without a failed test or ended early.
// A test that started but did not end counts as failed.
func (r *results) unlisted(known map[test]bool) []test {
	var out []test
	failedIn := map[string]bool{}
	for t := range r.started {
		if r.outcomes[t] == "" {
			r.outcomes[t] = "fail"
			r.abortedPackages[t.pkg] = true
		}
	}
	for t, how := range r.outcomes {
		if how == "fail" {
			failedIn[t.pkg] = true
			if !known[t] {
				out = append(out, t)
			}
		}
	}
	for pkg := range r.failedPackages {
		if !failedIn[pkg] || r.abortedPackages[pkg] {
			out = append(out, test{pkg: pkg})
		}
	}
	slices.SortFunc(out, compare)
	return out
}

// finish prints the failures and the counts and reports whether the run passes. err is the error of go test.
func (r *results) finish(known map[test]bool, err error) bool {
	failed := r.unlisted(known)
	for _, t := range failed {
		r.print("FAILED", t)
	}
	red, missing := 0, 0
	for _, t := range slices.SortedFunc(maps.Keys(known), compare) {
		switch r.outcomes[t] {
		case "fail":
			red++
			r.print("FAILED, listed in "+listFile+":", t)
		case "pass":
			_, _ = fmt.Fprintf(r.out, "passed, listed in %s: %s\n", listFile, t)
		default:
			missing++
			_, _ = fmt.Fprintf(r.out, "FAILED: %s is listed in %s but did not run; correct its entry\n", t, listFile)
		}
	}
	passed := 0
	for _, how := range r.outcomes {
		if how == "pass" {
			passed++
		}
	}
	ok := len(failed)+missing == 0
	if err != nil && ok && red == 0 {
		_, _ = fmt.Fprintln(r.out, "FAILED: go test:", err)
		ok, missing = false, 1
	}
	_, _ = fmt.Fprintf(r.out, "%d passed, %d failed, %d listed in %s failed\n", passed, len(failed)+missing, red, listFile)
	return ok
}

func (r *results) print(what string, t test) {
	_, _ = fmt.Fprintln(r.out, what, t)
	if b := r.output[t]; b != nil {
		_, _ = io.WriteString(r.out, b.String())
	}
}
