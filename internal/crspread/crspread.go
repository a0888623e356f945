// Package crspread distributes the configuration from the control instances to every node through a tree of relays.
//
// Core is a state machine without I/O: it takes the current time and messages and returns outputs. Node and Root run it
// over crwire.
package crspread

import (
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
)

// Parameters of the distribution tree.
const (
	// FanOut is the maximum number of children of a process. With 16, 14 roots reach 20,000 nodes in 4 levels.
	FanOut = 16
	// BatchInterval is the time between batches and between acknowledgements.
	BatchInterval = 50 * time.Millisecond
	// HeartbeatInterval is the time between heartbeats, and between acknowledgements, when nothing changes.
	HeartbeatInterval = time.Second
	// UnconfirmedAfter is the age of the last confirmation above which a node reports itself as unconfirmed.
	UnconfirmedAfter = 5 * time.Second
	// MaxLagging is the maximum number of lagging nodes that one acknowledgement names.
	MaxLagging = 64

	maxDepth     = 16
	maxRedirects = 8
	// parentTimeout is how long a parent may be silent or behind before its child searches for another one.
	parentTimeout = 3 * time.Second
	childTimeout  = 5 * time.Second
	joinTimeout   = 2 * time.Second
	// lostChildHold is how long a lost child stays in the acknowledgements: until its nodes report themselves as
	// unconfirmed. Without it a version would count as in force merely because the nodes that lack it were cut off.
	lostChildHold  = UnconfirmedAfter
	resyncInterval = 500 * time.Millisecond
	// backoffBase and backoffMax bound the rate of rejoins: after the loss of every root, 20,000 nodes make at most
	// about 4,000 attempts per second on average, 290 for each of 14 roots.
	backoffBase = 200 * time.Millisecond
	backoffMax  = 10 * time.Second
	// maxPartBytes bounds the size of the entries in one part of a batch, far below crwire.MaxMessageBytes.
	maxPartBytes = 256 << 10
	// maxParts limits a batch to 64 MB, the memory limit of a node.
	maxParts = 256
)

// Verdicts on a join request; the values are sent on the wire.
const (
	verdictAccepted uint32 = iota + 1
	verdictRedirect
	verdictUnconfirmed
	verdictNotReady
	verdictCycle
)

// Changes holds the changes of a Source since a version.
type Changes struct {
	// To is the version that the entries lead to.
	To crconfig.Version
	// Full is set when Entries is the whole configuration, because the single changes are no longer kept.
	Full bool
	// Entries holds each key at most once; it includes tombstones unless Full is set.
	Entries []*crwire.ConfigEntry
	// Digest is the crconfig.ViewDigest of the whole configuration at To.
	Digest crconfig.Digest
}

// Source provides the committed configuration to a root.
type Source interface {
	// Version returns the newest committed version.
	Version() crconfig.Version
	// Changes returns the entries that changed after a version; the zero version requests the whole configuration.
	Changes(from crconfig.Version) Changes
	// Confirmed reports whether Version is at or above a commit index that the leader recently confirmed by a read.
	Confirmed() bool
}

// Config configures a process of the tree.
type Config struct {
	Name        string
	Incarnation string
	// Domain is the failure domain of the process.
	Domain string
	// Address is the address at which children connect to this process.
	Address string
	// Source, when set, makes the process a root.
	Source Source
	// Controls lists the addresses of the control instances in order of preference.
	Controls []string
	// Services is the initial subscription: the services whose entries the node needs.
	Services []string
	// Seed seeds the jitter of rejoins; it should differ between processes.
	Seed uint64
}

// Output is an action that the caller of Core must perform: one of SendDown, CloseChild, OpenParent, SendUp, CloseParent
// and Update. Outputs must be performed in order.
type Output any

// SendDown sends a message to a child.
type SendDown struct {
	Link    uint64
	Message *crwire.SpreadDown
}

// CloseChild ends the link to a child.
type CloseChild struct{ Link uint64 }

// OpenParent connects to an address and sends a join request. Replies go to Core.ParentMessage and the end of the link to
// Core.ParentLost, with the same link.
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

// CloseParent ends the link to a parent or to a process that was sent a join request.
type CloseParent struct{ Link uint64 }

// Update is a change to the node's own view, the part of the configuration to which the node itself subscribes.
type Update struct {
	Version crconfig.Version
	// Full means that the update replaces the whole view; Replaced lists the services whose entries it replaces as a
	// whole.
	Full     bool
	Replaced []string
	// Services is the part of the subscription that the view covers.
	Services []string
	Entries  []*crwire.ConfigEntry
}

// Counters counts events since the start.
type Counters struct {
	// Older counts versions below the lowest accepted one.
	Older uint64
	// Gaps counts detected losses of batches or of parts of them.
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
	// ViewRefusals counts the updates that the node's own view rejected.
	ViewRefusals uint64
}

// Lagging is a node that is behind the reporting process, with the version that it has in force.
type Lagging struct {
	Name    string
	Version crconfig.Version
}

// Progress summarizes the acknowledgements of a process's subtree.
type Progress struct {
	// Version is the version that the process distributes; Minimum is the oldest one in force in its subtree, including
	// its own view.
	Version, Minimum crconfig.Version
	// Nodes counts the nodes of the subtree, including the process itself unless it is a root. Lost counts nodes below
	// recently broken links, which may have rejoined elsewhere.
	Nodes, Lost int
	Lagging     []Lagging
	// LaggingMore counts lagging nodes that Lagging doesn't name.
	LaggingMore int
}

// Status is the state of a process for diagnostic dumps.
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
	// Pending lists subscribed services that the view doesn't cover yet.
	Pending []string
	// Confirmed is set when the last confirmation by a leader is at most UnconfirmedAfter old.
	Confirmed bool
	// EverConfirmed is set when there was a confirmation, so that ConfirmedAge is valid.
	EverConfirmed bool
	ConfirmedAge  time.Duration
	Progress      Progress
	Counters      Counters
}
