package crprint_test

import (
	"flag"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crlang"
	"github.com/citronramp/citronramp/internal/crprint"
	"github.com/citronramp/citronramp/internal/crwire"
)

var update = flag.Bool("update", false, "write the golden files")

var start = time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC)

// TestPrintedAnswers guards against unintended changes of the columns, texts and JSON keys of answers, and against a change
// that is encoded as a different one.
func TestPrintedAnswers(t *testing.T) {
	c := qt.New(t)
	s := crconfig.NewState()
	var text, js strings.Builder
	emit := func(title string, a crprint.Answer) {
		text.WriteString("> " + title + "\n" + crprint.Text(a) + "\n")
		data, err := crprint.JSON(a)
		c.Assert(err, qt.IsNil)
		js.WriteString("> " + title + "\n" + string(data) + "\n")
	}
	for i, line := range []string{
		"create service ledger owner amina", "create service photo", "create kind ledger/record worth 900 class protected deadline 800ms retries 2",
		"create kind photo/thumbnail worth 5 repeat yes", "set service photo owner boris id 1764817200000-7f3a", "set service photo owner boris id 1764817200000-7f3a",
		"set kind ledger/record worth 901 if 1.2", "drain server n1", "drain server n2", "return server n2",
		"delete kind photo/thumbnail", "delete service photo if 0.0", "delete service ledger", "lift conviction 0a1b2c3d",
	} {
		cmd, err := crlang.Parse(line)
		c.Assert(err, qt.IsNil)
		m, ok := crprint.Encode(cmd.(crlang.Change), "amina", start.Add(time.Duration(i)*time.Second))
		c.Assert(ok, qt.IsTrue)
		data, err := proto.Marshal(m)
		c.Assert(err, qt.IsNil)
		emit(line, crprint.ResultOf(s.Apply(uint64(i+1), 1, data).(*crwire.ConfigAnswer)))
	}
	v := s.Version()
	emit("show services", crprint.ServicesOf(s))
	emit("show kinds", crprint.KindsOf(s, ""))
	emit("show kinds service photo", crprint.KindsOf(s, "photo"))
	emit("show servers", crprint.Servers{Servers: crprint.Rows[crprint.Server]{{"n1", "ledger", "127.0.0.1:7001", "nyanda-a", "serving", crprint.DrainedOf(s)["n1"]}}})
	emit("show shedding", crprint.Shedding{Shedding: crprint.Rows[crprint.Shed]{{"photo", "thumbnail", "ordinary", 5, 1200, 1000, 4, "the queue waits 80ms, the target is 20ms"}}})
	emit("show shedding service ledger", crprint.Shedding{})
	emit("show leader", crprint.Leader{Name: "c1", Address: "127.0.0.1:7101", Term: 3, LeaseMS: 740, Voters: 3, Reachable: 2})
	emit("show leader (none)", crprint.Leader{Voters: 3, Reachable: 1})
	emit("show spread", crprint.Spread{Version: v, Nodes: 300, InForce: 297, Minimum: crconfig.Version{Epoch: 1, Index: 7}, Behind: crprint.Rows[string]{"n7", "n9"}, Unreached: crprint.Rows[string]{"c2"}})
	emit("show members", crprint.Members{Members: crprint.Rows[crprint.Member]{{"c1", "127.0.0.1:7101", "voter", true, 14, 0}, {"c2", "127.0.0.1:7102", "learner", false, 9, 30}}})
	emit("show convictions", crprint.ConvictionsOf(s, "", time.Time{}, start))
	emit("show version", crprint.Version{Version: v, AgeMS: 6000})
	emit("wait 1.11", crprint.WaitResult{Version: v, Done: true, ElapsedMS: 120, Nodes: 300, InForce: 300})
	emit("wait 1.11 timeout 1s", crprint.WaitResult{Version: v, ElapsedMS: 1000, Nodes: 300, InForce: 299, Behind: crprint.Rows[string]{"n7"}})
	for _, line := range []string{"show cats", "set kind ledger/record", "create kind ledger/r\u0435cord worth 9"} {
		_, err := crlang.Parse(line)
		emit(line, crprint.ErrorOf(err))
	}
	emit("add member c4 at 127.0.0.1:7104", crprint.MemberResult("c4"))
	emit("remove member c3", crprint.MemberResult("c3"))
	emit("replace member c2 with c5 at 127.0.0.1:7105", crprint.MemberResult("c5"))
	emit("help lift", crprint.HelpOf("lift"))
	golden(c, "testdata/text.golden", text.String())
	golden(c, "testdata/json.golden", js.String())
}

func golden(c *qt.C, path, got string) {
	if *update {
		c.Assert(os.WriteFile(path, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(path)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, string(want))
}

// TestOperatorsPageShowsRealAnswers guards against an example in docs/operators.md that differs from the real answer, and
// against a command that the page does not list.
func TestOperatorsPageShowsRealAnswers(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../docs/operators.md")
	c.Assert(err, qt.IsNil)
	answers, err := os.ReadFile("testdata/text.golden")
	c.Assert(err, qt.IsNil)
	examples := regexp.MustCompile("(?sm)^(> .*?\n)(\n|```)").FindAllStringSubmatch(string(page), -1)
	c.Assert(len(examples) > 20, qt.IsTrue)
	for _, e := range examples {
		c.Check(strings.Contains(string(answers), e[1]+"\n"), qt.IsTrue, qt.Commentf("%s", e[1]))
	}
	for _, u := range crlang.Usages("") {
		plain, _, _ := strings.Cut(u.Form, " [")
		c.Check(strings.Contains(string(page), "`"+plain), qt.IsTrue, qt.Commentf("%s is not on the page", plain))
	}
}

// TestMemberChangeIsNotEncoded guards against a change of control members that is encoded as a change of the configuration.
func TestMemberChangeIsNotEncoded(t *testing.T) {
	_, ok := crprint.Encode(crlang.RemoveMember{Name: "c1"}, "amina", start)
	qt.Assert(t, ok, qt.IsFalse)
}

// TestUnknownValuesAreOmitted guards against an answer with an empty list of names, and against one from a member that is not the
// leader which shows values that only the leader knows.
func TestUnknownValuesAreOmitted(t *testing.T) {
	c := qt.New(t)
	v := crconfig.Version{Epoch: 1, Index: 5}
	c.Assert(crprint.Text(crprint.Spread{Version: v, Nodes: 2, InForce: 1}), qt.Contains, "Behind: 1 node.")
	lone := crprint.WaitResult{Version: v, ElapsedMS: 9, Nodes: 1, InForce: 1, Unreached: crprint.Rows[string]{"c2", "c3"}}
	c.Assert(crprint.Text(lone), qt.Equals, "Version 1.5 is in force on 1 of 1 node after 9ms. Wait again.\n"+
		"Not counted are the nodes of control instances that did not answer: c2, c3.\n")
	c.Assert(crprint.Text(crprint.Leader{Name: "c1", Address: "127.0.0.1:1", Term: 3, Voters: 3}), qt.Equals,
		"c1 at 127.0.0.1:1 is in charge in term 3. There are 3 voters.\n")
	c.Assert(crprint.Text(crprint.Leader{Voters: 3}), qt.Contains, "This instance knows of no control member in charge.")
}
