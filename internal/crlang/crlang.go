// Package crlang implements the operator language: a parser from one line of text to a typed command, a printer whose
// output parses to the same command, and errors that name the column and what is allowed there. The grammar does not
// depend on the locale and is the same for arguments, script lines and HTTP bodies; docs/operators.md describes it.
package crlang

import (
	"net/netip"
	"strings"
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/pkg/crcode"
)

const (
	// MaxLine bounds the length of a command in bytes; the longest useful command is much shorter.
	MaxLine = 1024
	// MaxScriptLines bounds the number of lines of a script.
	MaxScriptLines = 10000
	// DefaultTimeout is the timeout of wait when the command has none.
	DefaultTimeout = 10 * time.Second
	// MaxTimeout bounds the timeout of wait.
	MaxTimeout = time.Hour
)

// Command is one parsed command. String returns its canonical text, which parses to an equal command.
type Command interface {
	String() string
	command()
}

// Change is a command that changes the configuration or the members of the consensus log, the control instances.
type Change interface {
	Command
	// ChangeOptions returns the options that every change accepts.
	ChangeOptions() Options
}

// Options holds the options that every change accepts.
type Options struct {
	// ID is the command id, by which a resent command is recognised; empty means none.
	ID string
	// ExpectedVersion is the version that the object must have for the change to be accepted. Nil means any version, 0.0 means that
	// the object must not exist.
	ExpectedVersion *crconfig.Version
}

// ChangeOptions returns the options.
func (o Options) ChangeOptions() Options { return o }

func (Options) command() {}

// CreateService creates a service.
type CreateService struct {
	Name, Owner string
	Options
}

// SetService changes the owner of a service.
type SetService struct {
	Name, Owner string
	Options
}

// DeleteService deletes a service that has no kinds.
type DeleteService struct {
	Name string
	Options
}

// Fields holds the properties of a request kind; nil means that the command does not contain the property.
type Fields struct {
	Worth      *uint32
	Protected  *bool
	Repeatable *bool
	Deadline   *time.Duration
	Retries    *uint32
}

// CreateKind creates a request kind of a service.
type CreateKind struct {
	Service, Name string
	Fields
	Options
}

// SetKind changes the given properties of a kind; the others keep their values.
type SetKind struct {
	Service, Name string
	Fields
	Options
}

// DeleteKind deletes a kind.
type DeleteKind struct {
	Service, Name string
	Options
}

// DrainServer stops new requests to the backend server of a node.
type DrainServer struct {
	Node string
	Options
}

// ReturnServer resumes requests to a drained backend server.
type ReturnServer struct {
	Node string
	Options
}

// LiftConviction removes a conviction, the block on requests with a fingerprint that crashed backend servers.
type LiftConviction struct {
	Fingerprint string
	Options
}

// AddMember adds a control instance to the members of the consensus log.
type AddMember struct {
	Name    string
	Address netip.AddrPort
	Options
}

// RemoveMember removes a control instance from the members of the consensus log.
type RemoveMember struct {
	Name string
	Options
}

// ReplaceMember replaces the control instance Old by New.
type ReplaceMember struct {
	Old, New string
	Address  netip.AddrPort
	Options
}

// Topic is the subject of a show command.
type Topic string

// The topics of show.
const (
	Services      Topic = "services"
	Kinds         Topic = "kinds"
	Servers       Topic = "servers"
	Shedding      Topic = "shedding"
	Leader        Topic = "leader"
	Spread        Topic = "spread"
	Members       Topic = "members"
	Convictions   Topic = "convictions"
	ConfigVersion Topic = "version"
)

// Show queries a part of the configuration or state.
type Show struct {
	Topic Topic
	// Service limits kinds, servers, shedding and convictions; empty means all.
	Service string
	// Since limits convictions to those that started at this time or later; zero means all.
	Since time.Time
	// Version is the configuration version whose distribution is shown; nil means the latest.
	Version *crconfig.Version
}

func (Show) command() {}

// Wait waits until a configuration version is in force on every node or the timeout expires.
type Wait struct {
	Version crconfig.Version
	Timeout time.Duration
}

func (Wait) command() {}

// Help requests the forms of the commands that start with Word, or of all commands if it is empty.
type Help struct{ Word string }

func (Help) command() {}

// Parse parses one command, which may end in a line break. Errors are *crcode.Error values.
func Parse(line string) (Command, error) {
	line = strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")
	if len(line) > MaxLine {
		return nil, crcode.New(crcode.BadValue, "column %d: the command has %d bytes; write at most %d", MaxLine+1, len(line), MaxLine)
	}
	if err := checkCharacters(line); err != nil {
		return nil, err
	}
	cmd, err := newParser(line).command()
	if err != nil {
		return nil, err
	}
	return cmd, nil
}

// Line is one command of a script with its line number, starting at 1.
type Line struct {
	Number  int
	Command Command
}

// ParseScript parses a script with one command per line. Empty lines and lines that start with # are skipped. Errors name
// the line.
func ParseScript(text string) ([]Line, error) {
	var script []Line
	rows := strings.Split(text, "\n")
	if len(rows) > MaxScriptLines {
		return nil, crcode.New(crcode.BadValue, "the script has %d lines; write at most %d", len(rows), MaxScriptLines)
	}
	for i, row := range rows {
		row = strings.TrimSuffix(row, "\r")
		if strings.Trim(row, " ") == "" || strings.HasPrefix(row, "#") {
			continue
		}
		cmd, err := Parse(row)
		if err != nil {
			return nil, crcode.New(crcode.Of(err), "line %d, %s", i+1, err.(*crcode.Error).Detail)
		}
		script = append(script, Line{i + 1, cmd})
	}
	return script, nil
}
