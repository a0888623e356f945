package crsettings_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/citronramp/citronramp/internal/crsettings"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// nodeLines and controlLines are the lines of complete settings files, of which a test replaces one.
var (
	nodeLines = []string{
		"[node]", `name = "ledger-1"`, `domain = "a"`, `region = "nyanda"`, `service = "ledger"`, `listen = "127.0.0.1:7101"`,
		`inner = "127.0.0.1:7201"`, `admin = "127.0.0.1:7301"`, `control = ["127.0.0.1:7401"]`, `secret = "0123456789abcdef"`,
	}
	controlLines = []string{
		"[control]", `name = "c1"`, `domain = "a"`, `region = "nyanda"`, `inner = "127.0.0.1:7401"`, `operator = "127.0.0.1:7402"`,
		`admin = "127.0.0.1:7403"`, `data_dir = "c1"`, `secret = "0123456789abcdef"`,
	}
)

// TestFaults guards against an invalid setting that is accepted, or reported with the wrong line, key or code, and against a
// secret that appears in a message.
func TestFaults(t *testing.T) {
	tests := []struct {
		file []string
		line int
		with string
		want string
	}{
		{nodeLines, 2, `name = "Ledger"`, `2: node.name: "Ledger" is not allowed`},
		{nodeLines, 2, `name = "-a"`, `2: node.name: "-a" is not allowed`},
		{nodeLines, 2, `name = "леджер"`, `2: node.name: "леджер" is not allowed`},
		{nodeLines, 3, "", `1: node.domain: is missing`},
		{nodeLines, 4, "region = 5", `4: node.region: 5 is not allowed`},
		{nodeLines, 5, `service = ["a"]`, `5: node.service: a list of 1 is not allowed`},
		{nodeLines, 6, `listen = "localhost:7101"`, `6: node.listen: "localhost:7101" is not allowed`},
		{nodeLines, 7, `inner = "127.0.0.1:7101"`, `7: node.inner: "127.0.0.1:7101" is also the value of node.listen`},
		{nodeLines, 8, `admin = "127.0.0.1:0"`, `8: node.admin: "127.0.0.1:0" is not allowed`},
		{nodeLines, 9, "control = []", `9: node.control: a list of 0 is not allowed`},
		{nodeLines, 9, `control = "127.0.0.1:7401"`, `9: node.control: "127.0.0.1:7401" is not allowed`},
		{nodeLines, 10, `secret = "short"`, `10: node.secret: is too short`},
		{nodeLines, 10, "secret = 0123456789abcdef", `10: this is not TOML`},
		{[]string{""}, 1, "# nothing", `the file has neither`},
		{nodeLines, 10, nodeLines[9] + "\nmax_body_bytes = 0", `11: node.max_body_bytes: 0 is not allowed`},
		{nodeLines, 10, nodeLines[9] + "\nmax_body_bytes = 1048577", `11: node.max_body_bytes: 1048577 is not allowed`},
		{nodeLines, 10, nodeLines[9] + "\nmax_requests = 9", `11: node.max_requests: 9 is not allowed`},
		{nodeLines, 10, nodeLines[9] + "\nqueue_length = 1.5", `11: node.queue_length: 1.5 is not allowed`},
		{nodeLines, 10, nodeLines[9] + "\nqueue_time = \"11s\"", `11: node.queue_time: "11s" is not allowed`},
		{nodeLines, 10, nodeLines[9] + "\nstop_timeout = 30", `11: node.stop_timeout: 30 is not allowed`},
		{nodeLines, 10, nodeLines[9] + "\ncolour = 1", `11: node.colour: no such key`},
		{nodeLines, 10, nodeLines[9] + "\n# x\n[log]\nlevel = \"loud\"", `13: log.level: "loud" is not allowed`},
		{controlLines, 8, "", `1: control.data_dir: is missing`},
		{controlLines, 8, `data_dir = ""`, `8: control.data_dir: "" is not allowed`},
		{controlLines, 8, "observer = true\njoin = [\"127.0.0.1:1\"]\ndata_dir = \"x\"", `10: control.data_dir: "x" is not allowed; allowed is nothing`},
		{controlLines, 8, "observer = true", `1: control.join: is missing`},
		{controlLines, 8, controlLines[7] + "\nobserver = 1", `9: control.observer: 1 is not allowed`},
		{controlLines, 9, controlLines[8] + memberTable("c1", "127.0.0.1:7401") + memberTable("c2", "127.0.0.1:7501"), `11: control.members: 2 members are not allowed`},
		{controlLines, 9, controlLines[8] + memberTable("c2", "127.0.0.1:7501"), `11: control.members: this instance (c1, 127.0.0.1:7401) is not in the list`},
		{controlLines, 9, controlLines[8] + threeMembers("c2", "127.0.0.1:7501"), `21: control.members[3]: "c2" or its address stands twice`},
		{controlLines, 9, controlLines[8] + threeMembers("c3", "here"), `23: control.members[3].inner: "here" is not allowed`},
		{controlLines, 9, controlLines[8] + threeMembers("C3", "127.0.0.1:7601"), `22: control.members[3].name: "C3" is not allowed`},
		{controlLines, 9, controlLines[8] + threeMembers("c3", "127.0.0.1:7601") + "weight = 1", `24: control.members[3].weight: no such key`},
	}
	for _, test := range tests {
		t.Run(test.want, func(t *testing.T) {
			c := qt.New(t)
			lines := append([]string{}, test.file...)
			lines[test.line-1] = test.with
			_, err := crsettings.Parse("f", []byte(strings.Join(lines, "\n")))
			var faults crsettings.Faults
			c.Assert(errors.As(err, &faults), qt.IsTrue, qt.Commentf("%v", err))
			text := "\n" + faults.Error()
			c.Assert(strings.Contains(text, "\nf:"+test.want) || strings.Contains(text, "\nf: "+test.want), qt.IsTrue, qt.Commentf("%s", text))
			c.Assert(crcode.Of(err) >= crcode.SettingsUnreadable, qt.IsTrue)
			c.Assert(strings.Contains(text, "0123456789abcdef"), qt.IsFalse)
		})
	}
}

func memberTable(name, inner string) string {
	return "\n\n[[control.members]]\nname = \"" + name + "\"\ninner = \"" + inner + "\"\n"
}

func threeMembers(name, inner string) string {
	return memberTable("c1", "127.0.0.1:7401") + memberTable("c2", "127.0.0.1:7501") + memberTable(name, inner)
}

// TestDefaults guards against a default that differs from docs/operators.md, and against a valid file that is refused.
func TestDefaults(t *testing.T) {
	c := qt.New(t)
	set, err := crsettings.Parse("f", []byte(strings.Join(nodeLines, "\n")+"\n"+strings.Join(controlLines, "\n")+threeMembers("c3", "127.0.0.1:7601")))
	c.Assert(err, qt.IsNil)
	c.Assert(set.LogLevel, qt.Equals, "info")
	c.Assert(*set.Node, qt.DeepEquals, crsettings.Node{
		Name: "ledger-1", Domain: "a", Region: "nyanda", Service: "ledger", Listen: "127.0.0.1:7101", Inner: "127.0.0.1:7201",
		Admin: "127.0.0.1:7301", Control: []string{"127.0.0.1:7401"}, Secret: "0123456789abcdef", MaxBodyBytes: 1048576,
		MaxRequests: 2000, MemoryMB: 1024, MaxFDs: 8192, QueueLength: 400, QueueTime: 100 * time.Millisecond, StopTimeout: 30 * time.Second,
	})
	c.Assert(set.Control.Members, qt.HasLen, 3)
	c.Assert(set.Control.StopTimeout, qt.Equals, 30*time.Second)
}

// FuzzParse guards against a panic, and against a fault without file or message or with a line outside the file.
func FuzzParse(f *testing.F) {
	f.Add(strings.Join(nodeLines, "\n"))
	f.Add(strings.Join(controlLines, "\n") + threeMembers("c3", "127.0.0.1:7601"))
	for _, s := range []string{"", "node = 5", "[[node]]", "[node]\nname = {a = 1}", "control.members = [1]", "[node]\ncontrol = [[\"a\"]]", "x = 1\nx = 2", "\x00", "a = \"\"\"\n[node]\n\"\"\""} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		set, err := crsettings.Parse("f", []byte(text))
		if err == nil {
			if set.Node == nil && set.Control == nil {
				t.Fatal("a file without a table was accepted")
			}
			return
		}
		var faults crsettings.Faults
		if !errors.As(err, &faults) || len(faults) == 0 {
			t.Fatalf("no faults in %v", err)
		}
		for _, x := range faults {
			if x.File != "f" || x.Line < 0 || x.Line > strings.Count(text, "\n")+1 || x.Message == "" || x.Code < crcode.SettingsUnreadable {
				t.Fatalf("bad fault %+v", x)
			}
		}
	})
}
