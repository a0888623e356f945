package crcli_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crnode"
)

func readPage(c *qt.C, name string) string {
	b, err := os.ReadFile(filepath.Join("../..", name))
	c.Assert(err, qt.IsNil)
	return string(b)
}

// sessionScripts returns the commands of all session scripts in testdata, without the expected transcripts.
func sessionScripts(c *qt.C) string {
	files, err := filepath.Glob("testdata/*.txt")
	c.Assert(err, qt.IsNil)
	var all strings.Builder
	for _, f := range files {
		b, err := os.ReadFile(f)
		c.Assert(err, qt.IsNil)
		text, _, _ := strings.Cut(string(b), "\n-- want --")
		all.WriteString(text)
	}
	return all.String()
}

// TestShownCommandsAreRun guards against a command in docs/operators.md or README.md that no session script runs.
func TestShownCommandsAreRun(t *testing.T) {
	c := qt.New(t)
	run := sessionScripts(c)
	operators := readPage(c, "docs/operators.md")
	seen := 0
	for _, m := range regexp.MustCompile(`(?m)^> ([a-z]+ [a-z]+)`).FindAllStringSubmatch(operators, -1) {
		seen++
		c.Check(strings.Contains(run, m[1]), qt.IsTrue, qt.Commentf("%q", m[1]))
	}
	line := regexp.MustCompile(`(?m)^    bin/citronramp (.+)$`)
	for _, m := range line.FindAllStringSubmatch(operators+readPage(c, "README.md"), -1) {
		seen++
		c.Check(strings.Contains(run, sessionLine(m[1])), qt.IsTrue, qt.Commentf("%q, as %q", m[1], sessionLine(m[1])))
	}
	c.Assert(seen > 40, qt.IsTrue, qt.Commentf("%d commands found", seen))
}

// sessionLine translates a command line of a documentation page into the equivalent script command.
func sessionLine(line string) string {
	settings := regexp.MustCompile(`docs/examples/([a-z0-9-]+)\.toml`)
	name := ""
	if m := settings.FindStringSubmatch(line); m != nil {
		name = map[string]string{"trial": "control-1", "node": "ledger-2"}[m[1]]
		if name == "" {
			name = m[1]
		}
	}
	if strings.HasPrefix(line, "node ") && strings.Contains(line, "trial") {
		name = "ledger-1"
	}
	line = strings.NewReplacer("127.0.0.1:7441", "{control-4.inner}", "127.0.0.1:7301", "{ledger-1.admin}").Replace(line)
	words := strings.Fields(line)
	switch words[0] {
	case "ctl":
		return "ctl " + name + " " + strings.Join(words[3:], " ")
	case "check":
		return "program check " + name + ".toml"
	case "dump", "explain", "replay":
		return "program " + line
	}
	return strings.TrimSpace("start " + words[0] + " " + name + " " + strings.Join(words[3:], " "))
}

// TestHeadersAreDocumented guards against a header that is used in the code but not listed in docs/interface.md, and against a
// header that is listed but not used.
func TestHeadersAreDocumented(t *testing.T) {
	c := qt.New(t)
	listed := regexp.MustCompile("`(Citronramp-[A-Za-z-]*[a-z])[`:]").FindAllStringSubmatch(readPage(c, "docs/interface.md"), -1)
	var onPage []string
	for _, m := range listed {
		onPage = append(onPage, m[1])
	}
	slices.Sort(onPage)
	inCode := []string{
		crnode.HeaderRequestID, crnode.HeaderDeadline, crnode.HeaderContext, crnode.HeaderCallKey, crnode.HeaderOutcome, crnode.HeaderCode,
		crnode.HeaderAttempts, crnode.HeaderRetryAfter, "Citronramp-Operator",
	}
	slices.Sort(inCode)
	c.Assert(slices.Compact(onPage), qt.DeepEquals, inCode)
	// Checks that inCode is complete: the code of the node and the control instance contains no other header.
	for _, h := range literals(c, `"(Citronramp-[A-Za-z-]+[a-z])"`) {
		c.Check(slices.Contains(inCode, h), qt.IsTrue, qt.Commentf("%s", h))
	}
}

// literals returns all matches of the first group of pattern in the Go code of the node, the control instance and the
// commands, without tests.
func literals(c *qt.C, pattern string) []string {
	var out []string
	for _, dir := range []string{"../crnode", "../crcontrol", "."} {
		files, err := filepath.Glob(dir + "/*.go")
		c.Assert(err, qt.IsNil)
		for _, f := range files {
			if strings.HasSuffix(f, "_test.go") {
				continue
			}
			b, err := os.ReadFile(f)
			c.Assert(err, qt.IsNil)
			for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(string(b), -1) {
				out = append(out, m[1])
			}
		}
	}
	c.Assert(len(out) > 0, qt.IsTrue)
	return out
}

// TestCountersAreDocumented guards against a counter or a settings key that is missing from docs/operators.md.
func TestCountersAreDocumented(t *testing.T) {
	c := qt.New(t)
	operators := readPage(c, "docs/operators.md")
	for _, name := range literals(c, `Counters\.(?:Add|Gauge)\("([a-z_]+[a-z])"`) {
		c.Check(strings.Contains(operators, "`"+name+"`"), qt.IsTrue, qt.Commentf("counter %s", name))
	}
	b, err := os.ReadFile("../crsettings/tables.go")
	c.Assert(err, qt.IsNil)
	for _, m := range regexp.MustCompile(`"(?:node|control)\.([a-z_]+)"`).FindAllStringSubmatch(string(b), -1) {
		c.Check(strings.Contains(operators, "`"+m[1]+"`"), qt.IsTrue, qt.Commentf("settings key %s", m[1]))
	}
}

// TestPageListsDumpKeys guards against a key of the state dump that is missing from docs/operators.md and docs/interface.md.
func TestPageListsDumpKeys(t *testing.T) {
	c := qt.New(t)
	operators := readPage(c, "docs/operators.md")
	for _, key := range literals(c, "`json:\"([a-z_]+)[\",]") {
		c.Check(strings.Contains(operators, "`"+key+"`") || strings.Contains(readPage(c, "docs/interface.md"), `"`+key+`"`), qt.IsTrue, qt.Commentf("key %s", key))
	}
}

// TestPagesNameTests guards against a guarantee or condition in the documentation whose named test does not exist in the named
// package.
func TestPagesNameTests(t *testing.T) {
	c := qt.New(t)
	folders := map[string][]string{}
	for _, pattern := range []string{"../../pkg/*", "../../internal/*", "../../platform"} {
		found, err := filepath.Glob(pattern)
		c.Assert(err, qt.IsNil)
		for _, f := range found {
			folders[filepath.Base(f)] = testsOf(c, f)
		}
	}
	for _, name := range []string{"docs/conditions.md", "docs/proofs.md"} {
		_, platform, _ := strings.Cut(readPage(c, name), "\n## ")
		for _, m := range regexp.MustCompile("`([a-z]+)`: ((?:(?:Test|Fuzz)[A-Za-z]+(?: \\([a-z, ]+\\))?(?:, )?)+)").FindAllStringSubmatch(platform, -1) {
			for _, test := range regexp.MustCompile("(?:Test|Fuzz)[A-Za-z]+").FindAllString(m[2], -1) {
				c.Check(slices.Contains(folders[m[1]], test), qt.IsTrue, qt.Commentf("%s: %s has no %s", name, m[1], test))
			}
		}
	}
}

// testsOf returns the names of the tests and fuzz tests in a folder.
func testsOf(c *qt.C, folder string) (out []string) {
	files, err := filepath.Glob(filepath.Join(folder, "*_test.go"))
	c.Assert(err, qt.IsNil)
	for _, f := range files {
		text, err := os.ReadFile(f)
		c.Assert(err, qt.IsNil)
		for _, m := range regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)[A-Za-z]+)\(`).FindAllStringSubmatch(string(text), -1) {
			out = append(out, m[1])
		}
	}
	return out
}
