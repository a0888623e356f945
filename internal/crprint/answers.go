package crprint

import (
	"fmt"
	"strings"
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crlang"
)

// Services answers show services.
type Services struct {
	Services Rows[Service] `json:"services"`
}

// Service is one service.
type Service struct {
	Name      string           `json:"name"`
	Owner     string           `json:"owner"`
	Kinds     int              `json:"kinds"`
	Version   crconfig.Version `json:"version"`
	ChangedBy string           `json:"changed_by"`
}

func (a Services) table() table {
	return list(a.Services, "There are no services. Make one with: create service NAME", "NAME OWNER KINDS VERSION CHANGED_BY",
		func(s Service) []string {
			return []string{s.Name, or(s.Owner), number(s.Kinds), version(s.Version), or(s.ChangedBy)}
		})
}

// Kinds answers show kinds.
type Kinds struct {
	Kinds Rows[Kind] `json:"kinds"`
}

// Kind is one kind.
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
	return list(a.Kinds, "There are no kinds. Make one with: create kind SERVICE/KIND",
		"KIND CLASS WORTH REPEAT DEADLINE RETRIES VERSION CHANGED_BY", func(k Kind) []string {
			return []string{
				k.Service + "/" + k.Name, k.Class, number(k.Worth), yes(k.Repeatable),
				milliseconds(k.DeadlineMS), number(k.Retries), version(k.Version), or(k.ChangedBy),
			}
		})
}

// Servers answers show servers.
type Servers struct {
	Servers Rows[Server] `json:"servers"`
}

// Server is one backend server and its node.
type Server struct {
	Node    string `json:"node"`
	Service string `json:"service"`
	Address string `json:"address"`
	Domain  string `json:"domain"`
	// State is the announced state, for example serving, cold, suspect or leaving.
	State   string `json:"state"`
	Drained bool   `json:"drained"`
}

func (a Servers) table() table {
	return list(a.Servers, "No server has announced itself. Check that the nodes run and know a control instance.",
		"NODE SERVICE ADDRESS DOMAIN STATE DRAINED", func(s Server) []string {
			return []string{s.Node, s.Service, s.Address, s.Domain, s.State, yes(s.Drained)}
		})
}

// Shedding answers show shedding.
type Shedding struct {
	Shedding Rows[Shed] `json:"shedding"`
}

// Shed is one kind that a service refuses at the moment.
type Shed struct {
	Service string `json:"service"`
	Kind    string `json:"kind"`
	Class   string `json:"class"`
	Worth   uint32 `json:"worth"`
	// Refused counts the refusals in the last Window.
	Refused  uint64 `json:"refused"`
	WindowMS int64  `json:"window_ms"`
	// Nodes is how many nodes refuse.
	Nodes int `json:"nodes"`
	// Why is one short sentence, for example that the queue waits 80ms and the target is 20ms.
	Why string `json:"why"`
}

func (a Shedding) table() table {
	return list(a.Shedding, "Nothing is shed. All requests are admitted.", "KIND CLASS WORTH REFUSED IN NODES WHY",
		func(s Shed) []string {
			return []string{
				s.Service + "/" + s.Kind, s.Class, number(s.Worth), number(s.Refused),
				milliseconds(s.WindowMS), number(s.Nodes), s.Why,
			}
		})
}

// Leader answers show leader; an empty Name means that no member is in charge.
type Leader struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Term    uint64 `json:"term"`
	// LeaseMS is how long the leader may still answer without a new confirmation.
	LeaseMS int64 `json:"lease_ms"`
	// Voters and Reachable count the voting members and those that answer the leader.
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
		// Only the leader itself knows its lease and whom it reaches.
		return table{sentences: []string{fmt.Sprintf("%s at %s is in charge in term %d. There %s %s.", a.Name, a.Address, a.Term, are(a.Voters), plural(a.Voters, "voter"))}}
	}
	return table{sentences: []string{fmt.Sprintf("%s at %s is in charge in term %d. %d of %s can be reached. Its lease ends in %s.",
		a.Name, a.Address, a.Term, a.Reachable, plural(a.Voters, "voter"), milliseconds(a.LeaseMS))}}
}

// Spread answers show spread.
type Spread struct {
	Version crconfig.Version `json:"version"`
	Nodes   int              `json:"nodes"`
	InForce int              `json:"in_force"`
	// Minimum is the oldest version in force on any node.
	Minimum crconfig.Version `json:"minimum"`
	// Behind names nodes that lack the version; the list may be cut, so Nodes - InForce is the exact number.
	Behind Rows[string] `json:"behind"`
	// Unreached names the control instances that did not answer; their nodes are not counted.
	Unreached Rows[string] `json:"unreached"`
}

func (a Spread) table() table {
	s := []string{fmt.Sprintf("Version %s is in force on %d of %s.", a.Version, a.InForce, plural(a.Nodes, "node"))}
	if a.InForce < a.Nodes {
		s = append(s, fmt.Sprintf("The oldest version in force is %s.", a.Minimum), behind(a.Behind, a.Nodes-a.InForce))
	}
	return table{sentences: append(s, unreached(a.Unreached)...)}
}

// behind names the nodes that lag and how many more there are.
func behind(names Rows[string], count int) string {
	if len(names) == 0 {
		return fmt.Sprintf("Behind: %s.", plural(count, "node"))
	}
	text := "Behind: " + strings.Join(names, ", ")
	if more := count - len(names); more > 0 {
		text += fmt.Sprintf(" and %d more", more)
	}
	return text + "."
}

// unreached names the control instances whose nodes are not counted.
func unreached(names Rows[string]) []string {
	if len(names) == 0 {
		return nil
	}
	return []string{"Not counted are the nodes of control instances that did not answer: " + strings.Join(names, ", ") + "."}
}

// Waited answers wait.
type Waited struct {
	Version   crconfig.Version `json:"version"`
	Done      bool             `json:"done"`
	ElapsedMS int64            `json:"elapsed_ms"`
	Nodes     int              `json:"nodes"`
	InForce   int              `json:"in_force"`
	Behind    Rows[string]     `json:"behind"`
	// Unreached names the control instances that did not answer; the wait is not done without them.
	Unreached Rows[string] `json:"unreached"`
}

func (a Waited) table() table {
	if a.Done {
		return table{sentences: []string{fmt.Sprintf("Version %s is in force on all %s. Waited %s.", a.Version, plural(a.Nodes, "node"), milliseconds(a.ElapsedMS))}}
	}
	s := []string{fmt.Sprintf("Version %s is in force on %d of %s after %s. Wait again.", a.Version, a.InForce, plural(a.Nodes, "node"), milliseconds(a.ElapsedMS))}
	if a.InForce < a.Nodes {
		s = append(s, behind(a.Behind, a.Nodes-a.InForce))
	}
	return table{sentences: append(s, unreached(a.Unreached)...)}
}

// Members answers show members.
type Members struct {
	Members Rows[Member] `json:"members"`
}

// Member is one control member.
type Member struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	// Role is voter, learner or observer.
	Role   string `json:"role"`
	Leader bool   `json:"leader"`
	// Match is the last log index that the leader knows the member to hold.
	Match uint64 `json:"match"`
	// ContactMS is the time since the leader last heard from the member.
	ContactMS int64 `json:"contact_ms"`
}

func (a Members) table() table {
	return list(a.Members, "No members are known. Ask another control instance.", "NAME ADDRESS ROLE LEADER INDEX LAST_CONTACT",
		func(m Member) []string {
			return []string{m.Name, m.Address, m.Role, yes(m.Leader), number(m.Match), milliseconds(m.ContactMS)}
		})
}

// Convictions answers show convictions.
type Convictions struct {
	Convictions Rows[Conviction] `json:"convictions"`
}

// Conviction is one blocked request.
type Conviction struct {
	Fingerprint string           `json:"fingerprint"`
	Service     string           `json:"service"`
	Kind        string           `json:"kind"`
	Since       time.Time        `json:"since"`
	Expires     time.Time        `json:"expires"`
	Version     crconfig.Version `json:"version"`
}

func (a Convictions) table() table {
	return list(a.Convictions, "No request is blocked.", "FINGERPRINT KIND SINCE EXPIRES VERSION",
		func(c Conviction) []string {
			return []string{c.Fingerprint, c.Service + "/" + c.Kind, utc(c.Since), utc(c.Expires), version(c.Version)}
		})
}

// Version answers show version.
type Version struct {
	Version crconfig.Version `json:"version"`
	// Confirmed tells whether the leader confirmed that no later version was accepted.
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

// Help answers help.
type Help struct {
	Commands Rows[HelpLine] `json:"commands"`
}

// HelpLine is one form of the grammar.
type HelpLine struct {
	Form    string `json:"form"`
	Meaning string `json:"meaning"`
}

// HelpOf returns the help on the commands that start with word, or on all.
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
