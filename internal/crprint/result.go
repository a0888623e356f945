package crprint

import (
	"errors"
	"fmt"
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// Result is the answer to a change, or to any command that failed.
type Result struct {
	Code    crcode.Code `json:"code"`
	Name    string      `json:"name"`
	Outcome string      `json:"outcome"`
	Key     string      `json:"key,omitempty"`
	// Version is the version of an accepted change.
	Version *crconfig.Version `json:"version,omitempty"`
	Detail  string            `json:"detail,omitempty"`
	// Text explains the code and what the operator can do next.
	Text string `json:"text"`
	// Replayed is true if the command was applied earlier and this is the stored answer.
	Replayed bool `json:"replayed,omitempty"`
	// Current is the version of the object at the time of the command.
	Current *crconfig.Version `json:"current_version,omitempty"`
	Changed *Changed          `json:"changed,omitempty"`
}

// Changed describes the last change of the object, with which a refused command conflicted.
type Changed struct {
	By   string    `json:"by"`
	What string    `json:"what"`
	At   time.Time `json:"at"`
}

// ResultOf returns the answer to a change of the configuration.
func ResultOf(a *crwire.ConfigAnswer) Result {
	r := codeResult(crcode.Code(a.GetCode()))
	r.Key, r.Detail, r.Replayed = a.GetKey(), a.GetDetail(), a.GetReplayed()
	if v := a.GetVersion(); v != nil {
		r.Version = versionOf(v)
	}
	if v := a.GetCurrent(); v != nil {
		r.Current = versionOf(v)
	}
	if c := a.GetChanged(); c != nil {
		r.Changed = &Changed{By: operatorOrSystem(c.Operator), What: c.What, At: time.UnixMilli(c.AtMs).UTC()}
	}
	return r
}

// ErrorOf returns the answer to a command that failed with the error err.
func ErrorOf(err error) Result {
	r := codeResult(crcode.Of(err))
	var e *crcode.Error
	if errors.As(err, &e) {
		r.Detail = e.Detail
	}
	return r
}

// MemberResult returns the answer to an accepted change of control members. It has no version, since members are not part of
// the configuration that is distributed to the nodes.
func MemberResult(name string) Result {
	r := codeResult(crcode.OK)
	r.Key = "member/" + name
	return r
}

func codeResult(c crcode.Code) Result {
	i := c.Info()
	r := Result{Code: c, Name: i.Name, Outcome: i.Outcome.String(), Text: i.Text}
	if c == crcode.OK {
		r.Text = "The change is accepted."
	}
	return r
}

func versionOf(m *crwire.ConfigVersion) *crconfig.Version {
	v := crconfig.VersionFromProto(m)
	return &v
}

func (a Result) table() table {
	if a.Code == crcode.OK {
		return table{sentences: a.acceptedSentences()}
	}
	s := []string{fmt.Sprintf("Error %d %s: %s", a.Code, a.Name, a.Text)}
	if a.Replayed {
		s[0] += " This is the first answer again."
	}
	if a.Detail != "" {
		s = append(s, a.Detail+".")
	}
	if a.Changed != nil {
		s = append(s, fmt.Sprintf("Changed at %s by %s.", utc(a.Changed.At), a.Changed.By))
	}
	return table{sentences: s}
}

// acceptedSentences returns the text form of the answer to an accepted change.
func (a Result) acceptedSentences() []string {
	text := "Accepted"
	if a.Replayed {
		text = "Accepted before; this is the first answer again"
	}
	switch {
	case a.Key == "":
		return []string{text + "."}
	case a.Version == nil:
		return []string{text + ": " + a.Key + ".", "To see its state: show members"}
	}
	return []string{
		fmt.Sprintf("%s: %s has version %s.", text, a.Key, a.Version),
		fmt.Sprintf("To wait until it is in force everywhere: wait %s", a.Version),
	}
}
