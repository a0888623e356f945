package crlang_test

import (
	"flag"
	"net/netip"
	"os"
	"reflect"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crlang"
	"github.com/citronramp/citronramp/pkg/crcode"
)

var update = flag.Bool("update", false, "write the golden files")

// Guards against errors without the column, the name of the character or what is allowed in its place. The golden file
// holds the expected errors.
func TestErrors(t *testing.T) {
	c := qt.New(t)
	in, err := os.ReadFile("testdata/errors.in")
	c.Assert(err, qt.IsNil)
	var out strings.Builder
	for _, quoted := range strings.Split(strings.TrimSuffix(string(in), "\n"), "\n") {
		line, err := strconv.Unquote(`"` + quoted + `"`)
		c.Assert(err, qt.IsNil)
		cmd, err := crlang.Parse(line)
		c.Check(err, qt.ErrorMatches, `4\d\d \w+: column \d+: .*`, qt.Commentf("%s was parsed as %v", quoted, cmd))
		c.Check(cmd, qt.IsNil)
		out.WriteString(quoted + "\n    " + err.Error() + "\n")
	}
	if *update {
		c.Assert(os.WriteFile("testdata/errors.golden", []byte(out.String()), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile("testdata/errors.golden")
	c.Assert(err, qt.IsNil)
	c.Assert(out.String(), qt.Equals, string(want))
}

// Guards against columns that do not start at 1, and against an error for another than the first bad character.
func TestColumnOfFirstBadCharacter(t *testing.T) {
	c := qt.New(t)
	_, err := crlang.Parse("show \u0436\u0437")
	c.Assert(err, qt.ErrorMatches, `.*column 6: character U\+0436.*`)
	_, err = crlang.Parse("create service lager\u00fc")
	c.Assert(err, qt.ErrorMatches, `.*column 21: character U\+00FC \(letter, script Latin\).*`)
}

func ptr[T any](v T) *T { return &v }

// Guards against words that are parsed into the wrong field.
func TestParseAllForms(t *testing.T) {
	c := qt.New(t)
	o := crlang.Options{ID: "1764817200000-7f3a", ExpectedVersion: &crconfig.Version{Epoch: 3, Index: 4}}
	address := netip.MustParseAddrPort("127.0.0.1:7101")
	for line, want := range map[string]crlang.Command{
		"create service ledger owner amina id 1764817200000-7f3a if 3.4": crlang.CreateService{Name: "ledger", Owner: "amina", Options: o},
		"set service ledger owner amina":                                 crlang.SetService{Name: "ledger", Owner: "amina"},
		"delete service ledger\r\n":                                      crlang.DeleteService{Name: "ledger"},
		"create kind ledger/record  if 3.4 repeat no retries 2 deadline 800ms class protected worth 9 id 1764817200000-7f3a": crlang.CreateKind{
			Service: "ledger", Name: "record", Options: o,
			Fields: crlang.Fields{Worth: ptr(uint32(9)), Protected: ptr(true), Repeatable: ptr(false), Deadline: ptr(800 * time.Millisecond), Retries: ptr(uint32(2))},
		},
		"set kind ledger/record class ordinary":       crlang.SetKind{Service: "ledger", Name: "record", Fields: crlang.Fields{Protected: ptr(false)}},
		" delete kind ledger/record ":                 crlang.DeleteKind{Service: "ledger", Name: "record"},
		"drain server n1":                             crlang.DrainServer{Node: "n1"},
		"return server n1":                            crlang.ReturnServer{Node: "n1"},
		"lift conviction 0a1b2c3d":                    crlang.LiftConviction{Fingerprint: "0a1b2c3d"},
		"add member c4 at 127.0.0.1:7101":             crlang.AddMember{Name: "c4", Address: address},
		"remove member c4":                            crlang.RemoveMember{Name: "c4"},
		"replace member c3 with c4 at 127.0.0.1:7101": crlang.ReplaceMember{Old: "c3", New: "c4", Address: address},
		"show shedding service ledger":                crlang.Show{Topic: crlang.Shedding, Service: "ledger"},
		"show convictions since 2026-12-04T03:00:00Z": crlang.Show{Topic: crlang.Convictions, Since: time.Date(2026, 12, 4, 3, 0, 0, 0, time.UTC)},
		"show spread version 3.4":                     crlang.Show{Topic: crlang.Spread, Version: o.ExpectedVersion},
		"wait 3.4 timeout 2m":                         crlang.Wait{Version: *o.ExpectedVersion, Timeout: 2 * time.Minute},
		"wait 3.4":                                    crlang.Wait{Version: *o.ExpectedVersion, Timeout: crlang.DefaultTimeout},
		"help set":                                    crlang.Help{Word: "set"},
	} {
		got, err := crlang.Parse(line)
		c.Check(err, qt.IsNil)
		c.Check(reflect.DeepEqual(got, want), qt.IsTrue, qt.Commentf("%q was parsed as %#v", line, got))
	}
}

// Guards against printed commands that parse to a different command.
func TestPrintedCommandParsesBack(t *testing.T) {
	name := rapid.StringMatching(`[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?`)
	word := rapid.SampledFrom([]string{"service", "owner", "id", "if", "worth", "all"})
	anyName := rapid.OneOf(name, word)
	version := rapid.Custom(func(t *rapid.T) *crconfig.Version {
		return &crconfig.Version{Epoch: rapid.Uint64().Draw(t, "epoch"), Index: rapid.Uint64().Draw(t, "index")}
	})
	options := rapid.Custom(func(t *rapid.T) crlang.Options {
		return crlang.Options{
			ID:              rapid.OneOf(rapid.Just(""), rapid.StringMatching(`[0-9]{1,15}-[0-9a-z]{1,32}`)).Draw(t, "id"),
			ExpectedVersion: rapid.OneOf(rapid.Just((*crconfig.Version)(nil)), version).Draw(t, "if"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		n, m, o := anyName.Draw(t, "name"), anyName.Draw(t, "other"), options.Draw(t, "options")
		unit := rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, time.Minute}).Draw(t, "unit")
		d := unit * time.Duration(rapid.IntRange(1, 10).Draw(t, "count"))
		f := crlang.Fields{Worth: ptr(rapid.Uint32Range(0, crconfig.MaxWorth).Draw(t, "worth"))}
		if rapid.Bool().Draw(t, "all fields") {
			f = crlang.Fields{
				Protected: ptr(rapid.Bool().Draw(t, "class")), Repeatable: ptr(rapid.Bool().Draw(t, "repeat")), Deadline: &d,
				Retries: ptr(rapid.Uint32Range(0, crconfig.MaxRetries).Draw(t, "retries")),
			}
		}
		since := time.Unix(rapid.Int64Range(0, 4e9).Draw(t, "since"), rapid.Int64Range(0, 999).Draw(t, "ms")*1e6).UTC()
		a := netip.AddrPortFrom(netip.AddrFrom16([16]byte(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "address"))), rapid.Uint16Range(1, 65535).Draw(t, "port"))
		cmd := rapid.SampledFrom([]crlang.Command{
			crlang.CreateService{Name: n, Owner: m, Options: o},
			crlang.SetService{Name: n, Owner: m, Options: o},
			crlang.CreateKind{Service: n, Name: m, Fields: f, Options: o},
			crlang.SetKind{Service: n, Name: m, Fields: f, Options: o},
			crlang.DeleteKind{Service: n, Name: m, Options: o},
			crlang.DrainServer{Node: n, Options: o},
			crlang.AddMember{Name: n, Address: a, Options: o},
			crlang.ReplaceMember{Old: n, New: m, Address: a, Options: o},
			crlang.Show{Topic: crlang.Convictions, Service: n, Since: since},
			crlang.Show{Topic: crlang.Spread, Version: o.ExpectedVersion},
			crlang.Wait{Version: *version.Draw(t, "version"), Timeout: d},
		}).Draw(t, "command")
		got, err := crlang.Parse(cmd.String())
		if err != nil {
			t.Fatalf("%s: %v", cmd, err)
		}
		if !reflect.DeepEqual(got, cmd) {
			t.Fatalf("%s was parsed as %#v", cmd, got)
		}
	})
}

// Guards against a script that is parsed only in part, and against an error without its line number.
func TestParseScript(t *testing.T) {
	c := qt.New(t)
	script, err := crlang.ParseScript("# first the service\ncreate service ledger\r\n\nshow leader\n")
	c.Assert(err, qt.IsNil)
	c.Assert(script, qt.DeepEquals, []crlang.Line{{2, crlang.CreateService{Name: "ledger"}}, {4, crlang.Show{Topic: crlang.Leader}}})
	_, err = crlang.ParseScript("show leader\nshow cats\n")
	c.Assert(err, qt.ErrorMatches, `400 syntax: line 2, column 6: "cats" is not known here.*`)
}

// Guards against a form in the help that the parser does not accept.
func TestHelpFormsAreKnown(t *testing.T) {
	for _, u := range crlang.Usages("") {
		plain, _, _ := strings.Cut(u.Form, " [")
		example := strings.NewReplacer("SERVICE/KIND", "ledger/record", "FINGERPRINT", "0a1b2c3d", "IP:PORT", "127.0.0.1:1",
			"NAME", "ledger", "NODE", "n1", "OLD", "c1", "NEW", "c4", "VERSION", "3.4").Replace(plain)
		if strings.HasPrefix(plain, "set kind") {
			example += " worth 1"
		}
		_, err := crlang.Parse(example)
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", example))
	}
}

// Guards against input that makes the parser panic, against errors without a column or with a code outside 400 to 499, and
// against canonical text that parses to a different command.
func FuzzParse(f *testing.F) {
	f.Add("create kind ledger/record worth 9 class protected repeat no deadline 800ms retries 2 id 1764817200000-7f3a if 3.4")
	f.Add("show convictions service ledger since 2026-12-04T03:00:00Z")
	f.Add("add member c4 at [::1]:7101")
	f.Add("wait 3.1042 timeout 5s")
	f.Fuzz(func(t *testing.T, line string) {
		cmd, err := crlang.Parse(line)
		if err != nil {
			if code := crcode.Of(err); code < 400 || code > 499 || !strings.Contains(err.Error(), "column ") {
				t.Fatalf("%q: %v", line, err)
			}
			return
		}
		reparsed, err := crlang.Parse(cmd.String())
		if err != nil || reparsed.String() != cmd.String() {
			t.Fatalf("%q was printed as %q, which was parsed as %v with error %v", line, cmd, reparsed, err)
		}
	})
}
