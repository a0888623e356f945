// Package crspread distributes the configuration from the control instances to every node through a tree of relays.
// Core is the pure part: it takes the present time and messages and returns messages. Node and Root run it over crwire.
package crspread

import (
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
)

// Sizes and times of the tree.
const (
	// FanOut is the number of children of a process; 14 roots then reach 20,000 nodes in 4 levels.
	FanOut = 16
	// BatchInterval is the time between batches and between acknowledgements.
	BatchInterval = 50 * time.Millisecond
	// HeartbeatInterval is the time between heartbeats when nothing changes.
	HeartbeatInterval = time.Second
	// UnconfirmedAfter is the confirmation age from which a node reports itself as unconfirmed.
	UnconfirmedAfter = 5 * time.Second
	// MaxLagging bounds the names of lagging nodes in one acknowledgement.
	MaxLagging = 64

	maxDepth = 16
	maxHops  = 8
	// parentTimeout is how long a parent may be silent or behind before its child looks for another one.
	parentTimeout = 3 * time.Second
	childTimeout  = 5 * time.Second
	joinTimeout   = 2 * time.Second
	// lostHold keeps a lost child in the acknowledgements until its nodes report themselves as unconfirmed, so that
	// a version does not count as in force only because the nodes that lack it were cut off.
	lostHold       = UnconfirmedAfter
	resyncInterval = 500 * time.Millisecond
	// backoffBase and backoffMax bound the rejoins: after the loss of every root, 20,000 nodes make at most about
	// 4,000 attempts a second in the mean, 290 for each of 14 roots.
	backoffBase = 200 * time.Millisecond
	backoffMax  = 10 * time.Second
	// maxPartBytes bounds the entries of one part of a batch, far below crwire.MaxMessageBytes.
	maxPartBytes = 256 << 10
	// maxParts bounds a batch to 64 MB, the memory that a node may spend.
	maxParts = 256
)

// Verdicts of a join.
const (
	verdictAccepted uint32 = iota + 1
	verdictRedirect
	verdictUnconfirmed
	verdictNotReady
	verdictCycle
)

// Changes is what a source has after a version.
type Changes struct {
	// To is the version that the entries lead to.
	To crconfig.Version
	// Full tells that Entries is the whole configuration because the changes are no longer kept.
	Full bool
	// Entries holds each key at most once, deleted ones included unless Full is set.
	Entries []*crwire.ConfigEntry
	// Digest is crconfig.ViewDigest of the whole configuration at To.
	Digest crconfig.Digest
}

// Source is where a root reads the committed configuration.
type Source interface {
	// Version returns the newest committed version.
	Version() crconfig.Version
	// Changes returns the entries after a version; the zero version asks for the whole configuration.
	Changes(from crconfig.Version) Changes
	// Confirmed reports whether Version is at or above a commit index that a read of the leader has confirmed lately.
	Confirmed() bool
}

// Config is the identity of a process in the tree.
type Config struct {
	Name        string
	Incarnation string
	// Domain is the failure domain.
	Domain string
	// Address is where children reach this process.
	Address string
	// Source makes the process a root.
	Source Source
	// Controls are the addresses of the control instances, the preferred one first.
	Controls []string
	// Services is the initial subscription.
	Services []string
	// Seed makes the jitter of rejoins differ between processes.
	Seed uint64
}

// Output is what the caller of Core must do, one of the types below, in order.
type Output any

// SendDown sends a message to a child.
type SendDown struct {
	Link    uint64
	Message *crwire.SpreadDown
}

// CloseChild ends the link to a child.
type CloseChild struct{ Link uint64 }

// OpenParent joins at an address; the answers are passed to ParentDown and ParentLost with the same link.
type OpenParent struct {
	Link    uint64
	Address string
	Join    *crwire.SpreadJoin
}

// SendUp sends a message to the parent.
type SendUp struct {
	Link    uint64
	Message *crwire.SpreadUp
}

// CloseParent ends the link to a parent.
type CloseParent struct{ Link uint64 }

// Update is a change of the configuration that is in force on this node, limited to its own subscription.
type Update struct {
	Version crconfig.Version
	// Full tells that everything held before is dropped; Replaced lists services of which this holds.
	Full     bool
	Replaced []string
	// Services is the part of the subscription that the view covers.
	Services []string
	Entries  []*crwire.ConfigEntry
}

// Counters counts events since the start.
type Counters struct {
	Older          uint64
	Gaps           uint64
	DigestErrors   uint64
	Duplicates     uint64
	Cycles         uint64
	Resyncs        uint64
	Joins          uint64
	Redirects      uint64
	ParentLosses   uint64
	ChildLosses    uint64
	FullsSent      uint64
	BatchesSent    uint64
	BatchesApplied uint64
	Attempts       uint64
	// ViewRefusals counts the updates that the node's own view refused.
	ViewRefusals uint64
}

// Lagging names a node behind the reporting process and the version that it has in force.
type Lagging struct {
	Name    string
	Version crconfig.Version
}

// Progress is the state of acknowledgements below a process.
type Progress struct {
	// Version is what the process passes on, Minimum the oldest one in force in its subtree, its own view included.
	Version, Minimum crconfig.Version
	// Nodes counts the nodes of the subtree, the process included unless it is a root; Lost counts those whose link
	// broke a short time ago and which may have rejoined elsewhere.
	Nodes, Lost int
	Lagging     []Lagging
	// LaggingMore counts lagging nodes without a name in Lagging.
	LaggingMore int
}

// Status is the state of a process for dumps.
type Status struct {
	Name     string
	Root     bool
	Version  crconfig.Version
	Digest   crconfig.Digest
	Entries  int
	Path     []string
	Parent   string
	Children []string
	Services []string
	// Pending lists subscribed services that the view does not cover yet.
	Pending []string
	// Confirmed tells that a leader confirmed the version less than UnconfirmedAfter ago.
	Confirmed bool
	// EverConfirmed tells whether ConfirmedAge has a meaning.
	EverConfirmed bool
	ConfirmedAge  time.Duration
	Progress      Progress
	Counters      Counters
}
