// Package crsettings reads the TOML settings of a process and names every fault with its line, key and what is allowed.
package crsettings

import (
	"fmt"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/citronramp/citronramp/pkg/crcode"
)

// Node holds the settings of a node.
type Node struct {
	Name    string
	Domain  string
	Region  string
	Service string
	// Listen is the HTTP address for callers and for the backend server beside the node.
	Listen string
	// Inner is the address for other processes of the system.
	Inner string
	// Admin is the HTTP address of counters and the state dump.
	Admin string
	// Control lists the inner addresses of control instances, the preferred one first.
	Control []string
	// Secret keeps strangers off the inner port.
	Secret string
	// MaxBodyBytes bounds the body of a request and of an answer.
	MaxBodyBytes int
	// MaxRequests bounds the requests of outside callers that this node holds at one time.
	MaxRequests int
	// QueueLength bounds the requests that wait at the gate.
	QueueLength int
	// QueueTime bounds the wait of one request at the gate.
	QueueTime time.Duration
	// StopTimeout bounds a planned stop.
	StopTimeout time.Duration
}

// Member is one voting control instance of a new cluster.
type Member struct {
	Name  string
	Inner string
}

// Control holds the settings of a control instance.
type Control struct {
	Name     string
	Domain   string
	Region   string
	Inner    string
	Operator string
	Admin    string
	// DataDir is the one folder for durable state; it may be empty for an observer.
	DataDir string
	// Members are the voters of a new cluster, this instance included; empty means that this instance alone votes.
	Members []Member
	// Join lists the inner addresses of present control instances that a replacement asks for the log.
	Join        []string
	Observer    bool
	Secret      string
	StopTimeout time.Duration
}

// Settings is one settings file: it has a node or a control table, or both in a single-instance trial.
type Settings struct {
	Node    *Node
	Control *Control
	// LogLevel is "info" or "debug".
	LogLevel string
}

// Fault is one mistake in a settings file.
type Fault struct {
	File string
	// Line counts from 1; 0 means the file as a whole.
	Line    int
	Key     string
	Code    crcode.Code
	Message string
}

// String returns the fault as FILE:LINE: KEY: MESSAGE (CODE).
func (f Fault) String() string {
	place := f.File
	if f.Line > 0 {
		place = fmt.Sprintf("%s:%d", f.File, f.Line)
	}
	if f.Key == "" {
		return fmt.Sprintf("%s: %s (%d %s)", place, f.Message, f.Code, f.Code)
	}
	return fmt.Sprintf("%s: %s: %s (%d %s)", place, f.Key, f.Message, f.Code, f.Code)
}

// Faults is every mistake of a file; as an error it carries the code of the first.
type Faults []Fault

// Error returns the faults, a line each.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, x := range f {
		lines[i] = x.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the first fault as a coded error.
func (f Faults) Unwrap() error {
	if len(f) == 0 {
		return nil
	}
	return crcode.New(f[0].Code, "%s", f[0].Message)
}

// Load reads and checks the file at path; the error is Faults when the file can be read.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{{File: path, Code: crcode.SettingsUnreadable, Message: err.Error()}}
	}
	return Parse(path, data)
}

// Parse checks the text of a settings file; file is used in messages only.
func Parse(file string, data []byte) (*Settings, error) {
	var tree map[string]any
	if _, err := toml.Decode(string(data), &tree); err != nil {
		return nil, Faults{syntaxFault(file, string(data), err)}
	}
	p := &parser{file: file, lines: keyLines(string(data)), values: flatten("", tree, map[string]any{})}
	s := p.settings(tree)
	if len(p.faults) > 0 {
		sort.SliceStable(p.faults, func(i, j int) bool { return p.faults[i].Line < p.faults[j].Line })
		return nil, p.faults
	}
	return s, nil
}

func syntaxFault(file, text string, err error) Fault {
	f := Fault{File: file, Code: crcode.SettingsUnreadable, Message: err.Error()}
	if pe, ok := err.(toml.ParseError); ok {
		f.Line = pe.Position.Line
		f.Message = pe.Message
	}
	// The message may quote the value, and messages are logged; without a line it may come from any of them.
	lines := strings.Split(text, "\n")
	if f.Line < 1 || f.Line > len(lines) || strings.Contains(lines[f.Line-1], "secret") {
		f.Message = "this is not TOML; put texts in double quotes"
	}
	return f
}
