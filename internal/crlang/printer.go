package crlang

import (
	"strconv"
	"strings"
	"time"
)

// line builds the canonical text of a command.
type line []string

func (l line) add(words ...string) line { return append(l, words...) }

// option adds an option when it has a value.
func (l line) option(name, value string) line {
	if value == "" {
		return l
	}
	return append(l, name, value)
}

func (l line) options(o Options) string {
	l = l.option("id", o.ID)
	if o.If != nil {
		l = l.add("if", o.If.String())
	}
	return strings.Join(l, " ")
}

func (l line) fields(f Fields) line {
	if f.Worth != nil {
		l = l.add("worth", strconv.FormatUint(uint64(*f.Worth), 10))
	}
	if f.Protected != nil {
		l = l.add("class", word2(*f.Protected, "protected", "ordinary"))
	}
	if f.Repeatable != nil {
		l = l.add("repeat", word2(*f.Repeatable, "yes", "no"))
	}
	if f.Deadline != nil {
		l = l.add("deadline", formatDuration(*f.Deadline))
	}
	if f.Retries != nil {
		l = l.add("retries", strconv.FormatUint(uint64(*f.Retries), 10))
	}
	return l
}

func word2(is bool, yes, no string) string {
	if is {
		return yes
	}
	return no
}

// String returns the canonical text.
func (c CreateService) String() string {
	return line{"create service", c.Name}.option("owner", c.Owner).options(c.Options)
}

// String returns the canonical text.
func (c SetService) String() string {
	return line{"set service", c.Name}.option("owner", c.Owner).options(c.Options)
}

// String returns the canonical text.
func (c DeleteService) String() string { return line{"delete service", c.Name}.options(c.Options) }

// String returns the canonical text.
func (c CreateKind) String() string {
	return line{"create kind", c.Service + "/" + c.Name}.fields(c.Fields).options(c.Options)
}

// String returns the canonical text.
func (c SetKind) String() string {
	return line{"set kind", c.Service + "/" + c.Name}.fields(c.Fields).options(c.Options)
}

// String returns the canonical text.
func (c DeleteKind) String() string {
	return line{"delete kind", c.Service + "/" + c.Name}.options(c.Options)
}

// String returns the canonical text.
func (c DrainServer) String() string { return line{"drain server", c.Node}.options(c.Options) }

// String returns the canonical text.
func (c ReturnServer) String() string { return line{"return server", c.Node}.options(c.Options) }

// String returns the canonical text.
func (c LiftConviction) String() string {
	return line{"lift conviction", c.Fingerprint}.options(c.Options)
}

// String returns the canonical text.
func (c AddMember) String() string {
	return line{"add member", c.Name, "at", c.Address.String()}.options(c.Options)
}

// String returns the canonical text.
func (c RemoveMember) String() string { return line{"remove member", c.Name}.options(c.Options) }

// String returns the canonical text.
func (c ReplaceMember) String() string {
	return line{"replace member", c.Old, "with", c.New, "at", c.Address.String()}.options(c.Options)
}

// String returns the canonical text.
func (c Show) String() string {
	l := line{"show", string(c.Topic)}.option("service", c.Service)
	if !c.Since.IsZero() {
		l = l.add("since", c.Since.UTC().Format(time.RFC3339Nano))
	}
	if c.Version != nil {
		l = l.add("version", c.Version.String())
	}
	return strings.Join(l, " ")
}

// String returns the canonical text.
func (c Wait) String() string {
	return "wait " + c.Version.String() + " timeout " + formatDuration(c.Timeout)
}

// String returns the canonical text.
func (c Help) String() string {
	if c.Word == "" {
		return "help"
	}
	return "help " + c.Word
}
