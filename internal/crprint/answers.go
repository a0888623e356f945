package crprint

import (
	"fmt"
	"strings"
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crlang"
)

// Services is the answer to show services.
type Services struct {
	Services Rows[Service] `json:"services"`
}

// Service is one row of Services.
type Service struct {
	Name      string           `json:"name"`
	Owner     string           `json:"owner"`
	Kinds     int              `json:"kinds"`
	Version   crconfig.Version `json:"version"`
	ChangedBy string           `json:"changed_by"`
}

func (a Services) table() table {
	return tableOf(a.Services, "There are no services. Make one with: create service NAME", "NAME OWNER KINDS VERSION CHANGED_BY",
		func(s Service) []string {
			return []string{s.Name, orHyphen(s.Owner), number(s.Kinds), version(s.Version), orHyphen(s.ChangedBy)}
		})
}

// Kinds is the answer to show kinds.
type Kinds struct {
	Kinds Rows[Kind] `json:"kinds"`
}

// Kind is one row of Kinds: a request kind of a service.
type Kind struct {
	Service    string           `json:"service"`
	Name       string           `json:"name"`
	Class      string           `json:"class"`
	Worth      uint32           `json:"worth"`
	Repeatable bool             `json:"repeatable"`
	DeadlineMS int64            `json:"deadline_ms"`
	Retries    uint32           `json:"retries"`
	Version    crconfig.Version `json:"version"`
	ChangedBy  string           `json:"changed_by"`
}

func (a Kinds) table() table {
	return tableOf(a.Kinds, "There are no kinds. Make one with: create kind SERVICE/KIND",
		"KIND CLASS WORTH REPEAT DEADLINE RETRIES VERSION CHANGED_BY", func(k Kind) []string {
			return []string{
				k.Service + "/" + k.Name, k.Class, number(k.Worth), yesNo(k.Repeatable),
				milliseconds(k.DeadlineMS), number(k.Retries), version(k.Version), orHyphen(k.ChangedBy),
			}
		})
}

// Servers is the answer to show servers.
type Servers struct {
	Servers Rows[Server] `json:"servers"`
}

// Server is one row of Servers: a backend server and its node.
type Server struct {
	Node    string `json:"node"`
	Service string `json:"service"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// State is the state in the directory, for example serving, cold, suspect or leaving.
	State   string `json:"state"`
	Drained bool   `json:"drained"`
}

func (a Servers) table() table {
	return tableOf(a.Servers, "No server has announced itself. Check that the nodes run and know a control instance.",
		"NODE SERVICE ADDRESS DOMAIN STATE DRAINED", func(s Server) []string {
			return []string{s.Node, s.Service, s.Address, s.Domain, s.State, yesNo(s.Drained)}
		})
}

// Shedding is the answer to show shedding.
type Shedding struct {
	Shedding Rows[Shed] `json:"shedding"`
}

// Shed is one row of Shedding: a kind of which a service currently refuses requests.
type Shed struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
	Class   string `json:"class"`
	Worth   uint32 `json:"worth"`
	// Refused is the number of refusals in the last WindowMS milliseconds.
	Refused  uint64 `json:"refused"`
	WindowMS int64  `json:"window_ms"`
	// Nodes is the number of nodes that refuse requests of the kind.
	Nodes int `json:"nodes"`
	// Why gives the reason as text, for example: the queue waits 80ms, the target is 20ms.
	Why string `json:"why"`
}

func (a Shedding) table() table {
	return tableOf(a.Shedding, "Nothing is shed. All requests are admitted.", "KIND CLASS WORTH REFUSED IN NODES WHY",
		func(s Shed) []string {
			return []string{
				s.Service + "/" + s.Kind, s.Class, number(s.Worth), number(s.Refused),
				milliseconds(s.WindowMS), number(s.Nodes), s.Why,
			}
		})
}

// Leader is the answer to show leader. Name is empty if no leader is known.
type Leader struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Term    uint64 `json:"term"`
	// LeaseMS is the remaining time of the leader's lease, in which it may answer without a new confirmation.
	LeaseMS int64 `json:"lease_ms"`
	// Voters is the number of voting members, Reachable the number of those that answer the leader.
	Voters    int `json:"voters"`
	Reachable int `json:"reachable"`
}

func (a Leader) table() table {
	switch {
	case a.Name == "" && a.Reachable == 0:
		return table{sentences: []string{fmt.Sprintf("This instance knows of no control member in charge. More than half of the %s must be reached.", plural(a.Voters, "voter"))}}
	case a.Name == "":
		return table{sentences: []string{fmt.Sprintf("No control member is in charge. %d of %s can be reached; more than half must be.", a.Reachable, plural(a.Voters, "voter"))}}
	case a.Reachable == 0:
		// A member that is not the leader knows neither the lease nor the reachable members.
		return table{sentences: []string{fmt.Sprintf("%s at %s is in charge in term %d. There %s %s.", a.Name, a.Address, a.Term, verbFor(a.Voters), plural(a.Voters, "voter"))}}
	}
	return table{sentences: []string{fmt.Sprintf("%s at %s is in charge in term %d. %d of %s can be reached. Its lease ends in %s.",
		a.Name, a.Address, a.Term, a.Reachable, plural(a.Voters, "voter"), milliseconds(a.LeaseMS))}}
}

// Spread is the answer to show spread: on how many nodes a configuration version is in force.
type Spread struct {
	Version crconfig.Version `json:"version"`
	Nodes   int              `json:"nodes"`
	InForce int              `json:"in_force"`
	// Minimum is the oldest version in force on any node.
	Minimum crconfig.Version `json:"minimum"`
	// Behind lists names of nodes that do not have the version yet. The list may be truncated; the exact number is
	// Nodes - InForce.
	Behind Rows[string] `json:"behind"`
	// Unreached lists the control instances that did not answer; their nodes are not counted.
	Unreached Rows[string] `json:"unreached"`
}

func (a Spread) table() table {
	s := []string{fmt.Sprintf("Version %s is in force on %d of %s.", a.Version, a.InForce, plural(a.Nodes, "node"))}
	if a.InForce < a.Nodes {
		s = append(s, fmt.Sprintf("The oldest version in force is %s.", a.Minimum), behindSentence(a.Behind, a.Nodes-a.InForce))
	}
	return table{sentences: append(s, unreachedSentences(a.Unreached)...)}
}

// behindSentence lists the nodes in names and gives the number of the others, of count nodes that do not have the version.
func behindSentence(names Rows[string], count int) string {
	if len(names) == 0 {
		return fmt.Sprintf("Behind: %s.", plural(count, "node"))
	}
	text := "Behind: " + strings.Join(names, ", ")
	if more := count - len(names); more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text + "."
}

// unreachedSentences lists the control instances that did not answer, if any.
func unreachedSentences(names Rows[string]) []string {
	if len(names) == 0 {
		return nil
	}
	return []string{"Not counted are the nodes of control instances that did not answer: " + strings.Join(names, ", ") + "."}
}

// WaitResult is the answer to wait.
type WaitResult struct {
	Version   crconfig.Version `json:"version"`
	Done      bool             `json:"done"`
	ElapsedMS int64            `json:"elapsed_ms"`
	Nodes     int              `json:"nodes"`
	InForce   int              `json:"in_force"`
	Behind    Rows[string]     `json:"behind"`
	// Unreached lists the control instances that did not answer; Done is false while there are any.
	Unreached Rows[string] `json:"unreached"`
}

func (a WaitResult) table() table {
	if a.Done {
		return table{sentences: []string{fmt.Sprintf("Version %s is in force on all %s. Waited %s.", a.Version, plural(a.Nodes, "node"), milliseconds(a.ElapsedMS))}}
	}
	s := []string{fmt.Sprintf("Version %s is in force on %d of %s after %s. Wait again.", a.Version, a.InForce, plural(a.Nodes, "node"), milliseconds(a.ElapsedMS))}
	if a.InForce < a.Nodes {
		s = append(s, behindSentence(a.Behind, a.Nodes-a.InForce))
	}
	return table{sentences: append(s, unreachedSentences(a.Unreached)...)}
}

// Members is the answer to show members.
type Members struct {
	Members Rows[Member] `json:"members"`
}

// Member is one row of Members: a member of the control cluster.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Role is voter, learner or observer.
	Role   string `json:"role"`
	Leader bool   `json:"leader"`
	// Match is the highest log index known to be replicated to the member.
	Match uint64 `json:"match"`
	// ContactMS is the time since the leader last received a message from the member.
	ContactMS int64 `json:"contact_ms"`
}

func (a Members) table() table {
	return tableOf(a.Members, "No members are known. Ask another control instance.", "NAME ADDRESS ROLE LEADER INDEX LAST_CONTACT",
		func(m Member) []string {
			return []string{m.Name, m.Address, m.Role, yesNo(m.Leader), number(m.Match), milliseconds(m.ContactMS)}
		})
}

// Convictions is the answer to show convictions.
type Convictions struct {
	Convictions Rows[Conviction] `json:"convictions"`
}

// Conviction is one row of Convictions: the block on requests with a fingerprint.
type Conviction struct {
	Fingerprint string           `json:"fingerprint"`
	Service     string           `json:"service"`
	Kind        string           `json:"kind"`
	Since       time.Time        `json:"since"`
	Expires     time.Time        `json:"expires"`
	Version     crconfig.Version `json:"version"`
}

func (a Convictions) table() table {
	return tableOf(a.Convictions, "No request is blocked.", "FINGERPRINT KIND SINCE EXPIRES VERSION",
		func(c Conviction) []string {
			return []string{c.Fingerprint, c.Service + "/" + c.Kind, utc(c.Since), utc(c.Expires), version(c.Version)}
		})
}

// Version is the answer to show version.
type Version struct {
	Version crconfig.Version `json:"version"`
	// Confirmed is true if the leader confirmed that no later version has been accepted.
	Confirmed bool `json:"confirmed"`
	// AgeMS is the time since the last confirmation.
	AgeMS int64 `json:"age_ms"`
}

func (a Version) table() table {
	if a.Confirmed {
		return table{sentences: []string{fmt.Sprintf("The configuration has version %s. The leader confirmed it.", a.Version)}}
	}
	return table{sentences: []string{fmt.Sprintf("This instance has version %s, last confirmed %s ago. There may be a later one. Ask another control instance.",
		a.Version, milliseconds(a.AgeMS))}}
}

// Help is the answer to help.
type Help struct {
	Commands Rows[HelpLine] `json:"commands"`
}

// HelpLine is one command form of the operator language and its meaning.
type HelpLine struct {
	Form    string `json:"form"`
	Meaning string `json:"meaning"`
}

// HelpOf returns the help on the commands that start with word, or on all commands if word is empty.
func HelpOf(word string) Help {
	var h Help
	for _, u := range crlang.Usages(word) {
		h.Commands = append(h.Commands, HelpLine{u.Form, u.Meaning})
	}
	return h
}

func (a Help) table() table {
	var t table
	for _, l := range a.Commands {
		t.sentences = append(t.sentences, l.Form, "    "+l.Meaning)
	}
	return t
}
