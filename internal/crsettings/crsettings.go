// Package crsettings reads the TOML settings of a process and reports every fault with its line, its key and the allowed values.
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
	// Listen is the HTTP address for outside callers and for the backend server beside the node.
	Listen string
	// Inner is the address at which other processes of the system connect.
	Inner string
	// Admin is the HTTP address that serves the counters and the state dump.
	Admin string
	// Control lists the inner addresses of control instances, in order of preference.
	Control []string
	// Secret is shared by all processes; connections to the inner port have to prove that they know it.
	Secret string
	// MaxBodyBytes limits the body size of a request and of an answer.
	MaxBodyBytes int
	// MaxRequests limits the concurrent requests of outside callers at this node.
	MaxRequests int
	// MemoryMB is the memory limit of the process in MiB, MaxFDs the number of descriptors that it may open.
	MemoryMB int
	MaxFDs   int
	// QueueLength limits the requests that wait in the queue of the gate, the node's admission control.
	QueueLength int
	// QueueTime limits how long one request waits in the queue of the gate.
	QueueTime time.Duration
	// StopTimeout limits the duration of a planned stop.
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
	// DataDir is the folder for all durable state; it is empty for an observer.
	DataDir string
	// Members lists the voters of a new cluster, including this instance. If it is empty, this instance is the only voter.
	Members []Member
	// Join lists the inner addresses of existing control instances, from which a replacement fetches the log.
	Join     []string
	Observer bool
	Secret   string
	// MemoryMB is the memory limit of the process in MiB, MaxFDs the number of descriptors that it may open.
	MemoryMB    int
	MaxFDs      int
	StopTimeout time.Duration
}

// Settings is one settings file. It has a node table, a control table, or both for a trial with a single instance.
type Settings struct {
	Node    *Node
	Control *Control
	// LogLevel is "info" or "debug".
	LogLevel string
}

// Fault is one error in a settings file.
type Fault struct {
	File string
	// Line counts from 1; 0 stands for the file as a whole.
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

// Faults holds all faults of a file. As an error it carries the code of the first one.
type Faults []Fault

// Error returns the faults, one per line.
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

// Load reads and checks the file at path. Errors are of type Faults.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Faults{{File: path, Code: crcode.SettingsUnreadable, Message: err.Error()}}
	}
	return Parse(path, data)
}

// Parse parses and checks the text of a settings file. The file name is used in messages only.
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
	// The parser's message may quote a value, and messages are logged. It is replaced if the line may hold the secret, or if the
	// line is not known.
	lines := strings.Split(text, "\n")
	if f.Line < 1 || f.Line > len(lines) || strings.Contains(lines[f.Line-1], "secret") {
		f.Message = "this is not TOML; put texts in double quotes"
	}
	return f
}
