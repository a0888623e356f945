package crlang

import (
	"strconv"
	"strings"
	"time"
)

// commandText builds the canonical text of a command from its words.
type commandText []string

func (l commandText) add(words ...string) commandText { return append(l, words...) }

// option appends an option unless its value is empty.
func (l commandText) option(name, value string) commandText {
	if value == "" {
		return l
	}
	return append(l, name, value)
}

// options appends the options of a change and returns the text.
func (l commandText) options(o Options) string {
	l = l.option("id", o.ID)
	if o.ExpectedVersion != nil {
		l = l.add("if", o.ExpectedVersion.String())
	}
	return strings.Join(l, " ")
}

// fields appends the given properties of a kind.
func (l commandText) fields(f Fields) commandText {
	if f.Worth != nil {
		l = l.add("worth", strconv.FormatUint(uint64(*f.Worth), 10))
	}
	if f.Protected != nil {
		l = l.add("class", choose(*f.Protected, "protected", "ordinary"))
	}
	if f.Repeatable != nil {
		l = l.add("repeat", choose(*f.Repeatable, "yes", "no"))
	}
	if f.Deadline != nil {
		l = l.add("deadline", formatDuration(*f.Deadline))
	}
	if f.Retries != nil {
		l = l.add("retries", strconv.FormatUint(uint64(*f.Retries), 10))
	}
	return l
}

func choose(condition bool, yes, no string) string {
	if condition {
		return yes
	}
	return no
}

// String returns the canonical text of the command.
func (c CreateService) String() string {
	return commandText{"create service", c.Name}.option("owner", c.Owner).options(c.Options)
}

// String returns the canonical text of the command.
func (c SetService) String() string {
	return commandText{"set service", c.Name}.option("owner", c.Owner).options(c.Options)
}

// String returns the canonical text of the command.
func (c DeleteService) String() string {
	return commandText{"delete service", c.Name}.options(c.Options)
}

// String returns the canonical text of the command.
func (c CreateKind) String() string {
	return commandText{"create kind", c.Service + "/" + c.Name}.fields(c.Fields).options(c.Options)
}

// String returns the canonical text of the command.
func (c SetKind) String() string {
	return commandText{"set kind", c.Service + "/" + c.Name}.fields(c.Fields).options(c.Options)
}

// String returns the canonical text of the command.
func (c DeleteKind) String() string {
	return commandText{"delete kind", c.Service + "/" + c.Name}.options(c.Options)
}

// String returns the canonical text of the command.
func (c DrainServer) String() string { return commandText{"drain server", c.Node}.options(c.Options) }

// String returns the canonical text of the command.
func (c ReturnServer) String() string { return commandText{"return server", c.Node}.options(c.Options) }

// String returns the canonical text of the command.
func (c LiftConviction) String() string {
	return commandText{"lift conviction", c.Fingerprint}.options(c.Options)
}

// String returns the canonical text of the command.
func (c AddMember) String() string {
	return commandText{"add member", c.Name, "at", c.Address.String()}.options(c.Options)
}

// String returns the canonical text of the command.
func (c RemoveMember) String() string { return commandText{"remove member", c.Name}.options(c.Options) }

// String returns the canonical text of the command.
func (c ReplaceMember) String() string {
	return commandText{"replace member", c.Old, "with", c.New, "at", c.Address.String()}.options(c.Options)
}

// String returns the canonical text of the command.
func (c Show) String() string {
	l := commandText{"show", string(c.Topic)}.option("service", c.Service)
	if !c.Since.IsZero() {
		l = l.add("since", c.Since.UTC().Format(time.RFC3339Nano))
	}
	if c.Version != nil {
		l = l.add("version", c.Version.String())
	}
	return strings.Join(l, " ")
}

// String returns the canonical text of the command.
func (c Wait) String() string {
	return "wait " + c.Version.String() + " timeout " + formatDuration(c.Timeout)
}

// String returns the canonical text of the command.
func (c Help) String() string {
	if c.Word == "" {
		return "help"
	}
	return "help " + c.Word
}
