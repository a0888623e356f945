// Package crlang is the operator language: a parser that turns one line into a typed command, a printer whose output
// parses back to the same command, and errors that name the column and what is allowed there. The grammar does not
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
	// MaxLine bounds a command in bytes; the longest useful command is well below.
	MaxLine = 1024
	// MaxScriptLines bounds a script.
	MaxScriptLines = 10000
	// DefaultTimeout is how long wait waits when the operator says nothing.
	DefaultTimeout = 10 * time.Second
	// MaxTimeout bounds the timeout of wait.
	MaxTimeout = time.Hour
)

// Command is one parsed command; String returns its canonical text, which parses back to the same command.
type Command interface {
	String() string
	command()
}

// Change is a command that changes the configuration or the control members.
type Change interface {
	Command
	// ChangeOptions returns the options that every change may carry.
	ChangeOptions() Options
}

// Options are the options of every change.
type Options struct {
	// ID is the command id, empty for none.
	ID string
	// If is the version that the object must have, nil for any; 0.0 means that it must not exist.
	If *crconfig.Version
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

// Fields are the properties of a kind; nil means not named in the command.
type Fields struct {
	Worth      *uint32
	Protected  *bool
	Repeatable *bool
	Deadline   *time.Duration
	Retries    *uint32
}

// CreateKind creates a kind of a service.
type CreateKind struct {
	Service, Name string
	Fields
	Options
}

// SetKind changes the named properties of a kind.
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

// DrainServer takes new work away from the backend server of a node.
type DrainServer struct {
	Node string
	Options
}

// ReturnServer gives work to a drained backend server again.
type ReturnServer struct {
	Node string
	Options
}

// LiftConviction allows requests with a fingerprint again.
type LiftConviction struct {
	Fingerprint string
	Options
}

// AddMember adds a control member.
type AddMember struct {
	Name    string
	Address netip.AddrPort
	Options
}

// RemoveMember removes a control member.
type RemoveMember struct {
	Name string
	Options
}

// ReplaceMember replaces a control member by a new one.
type ReplaceMember struct {
	Old, New string
	Address  netip.AddrPort
	Options
}

// Topic is what a show command shows.
type Topic string

// The topics of show.
const (
	Services    Topic = "services"
	Kinds       Topic = "kinds"
	Servers     Topic = "servers"
	Shedding    Topic = "shedding"
	Leader      Topic = "leader"
	Spread      Topic = "spread"
	Members     Topic = "members"
	Convictions Topic = "convictions"
	Versions    Topic = "version"
)

// Show is a query.
type Show struct {
	Topic Topic
	// Service limits kinds, servers, shedding and convictions; empty means all.
	Service string
	// Since limits convictions to those that started at that time or later; zero means all.
	Since time.Time
	// Version is the change whose spread is asked for; nil means the latest.
	Version *crconfig.Version
}

func (Show) command() {}

// Wait waits until a version is in force on every node.
type Wait struct {
	Version crconfig.Version
	Timeout time.Duration
}

func (Wait) command() {}

// Help asks for the grammar of one command word, or of all when it is empty.
type Help struct{ Word string }

func (Help) command() {}

// Parse reads one command. One line end after it is allowed. Errors are *crcode.Error values.
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

// Line is one command of a script with its line number, counted from 1.
type Line struct {
	Number  int
	Command Command
}

// ParseScript reads one command a line; empty lines and lines that start with # are skipped. The error names the line.
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
