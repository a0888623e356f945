package crlang

import (
	"slices"
	"strings"
)

// Usage is the form of one command with its meaning, as shown by help.
type Usage struct {
	Form    string
	Meaning string
}

// Forms of the options that several commands share.
const (
	kindOptionsForm   = "[worth N] [class protected|ordinary] [repeat yes|no] [deadline TIME] [retries N]"
	changeOptionsForm = " [id ID] [if VERSION]"
)

var usages = []Usage{
	{"create service NAME [owner NAME]" + changeOptionsForm, "Make a new service."},
	{"create kind SERVICE/KIND " + kindOptionsForm + changeOptionsForm, "Make a new request kind."},
	{"set service NAME owner NAME" + changeOptionsForm, "Change the owner of a service."},
	{"set kind SERVICE/KIND " + kindOptionsForm + changeOptionsForm, "Change the named properties of a kind. The others stay."},
	{"delete service NAME" + changeOptionsForm, "Remove a service that has no kinds."},
	{"delete kind SERVICE/KIND" + changeOptionsForm, "Remove a kind."},
	{"drain server NODE" + changeOptionsForm, "Send no new work to the server of this node."},
	{"return server NODE" + changeOptionsForm, "Send work to a drained server again."},
	{"lift conviction FINGERPRINT" + changeOptionsForm, "Allow a blocked request again."},
	{"add member NAME at IP:PORT", "Add a control member."},
	{"remove member NAME", "Remove a control member."},
	{"replace member OLD with NEW at IP:PORT", "Put a new control member in the place of an old one."},
	{"show services", "List the services."},
	{"show kinds [service NAME]", "List the kinds with their properties."},
	{"show servers [service NAME]", "List the servers and their state."},
	{"show shedding [service NAME]", "List what is refused now, and why."},
	{"show leader", "Tell which control member is in charge."},
	{"show spread [version VERSION]", "Tell how far a change has spread."},
	{"show members", "List the control members."},
	{"show convictions [service NAME] [since UTC]", "List the blocked requests."},
	{"show version", "Tell the version of the configuration."},
	{"wait VERSION [timeout TIME]", "Wait until a version is in force on every node."},
	{"help [WORD]", "Show the commands, or those that start with the word."},
}

// Usages returns the usages of the commands whose first word is word; an empty word returns all.
func Usages(word string) []Usage {
	return slices.DeleteFunc(slices.Clone(usages), func(u Usage) bool {
		return word != "" && !strings.HasPrefix(u.Form, word+" ")
	})
}
