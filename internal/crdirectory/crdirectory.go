// Package crdirectory implements the membership directory: soft state of nodes and backend servers that the control
// instances, for example the coordinators, keep by leases and exchange with each other. Core is the deterministic state
// of one control instance without I/O, Server runs a Core, and Client announces a node and watches services.
package crdirectory

import (
	"time"

	"github.com/citronramp/citronramp/internal/crwire"
)

// Times and limits of the directory.
const (
	// Lease is the lifetime of an entry without a renewal.
	Lease = 10 * time.Second
	// RenewInterval is the mean time between renewals of a node, about a third of a lease.
	RenewInterval = 3 * time.Second
	// ExchangeInterval is the time between two messages to a peer control instance and between two updates of a
	// watcher.
	ExchangeInterval = 200 * time.Millisecond
	// OwnerGrace is how long the entries of a lost control instance are kept so that their nodes can announce
	// themselves at another one.
	OwnerGrace = 15 * time.Second
	// expiryWindow is the time in which at most half of the servers of a service may expire (see Core.mayExpire). It
	// bounds the servers that a false suspicion can remove.
	expiryWindow = 30 * time.Second
	// SubsetSize bounds the servers of a service that a calling node receives.
	SubsetSize = 20
	// EntranceCount bounds the entrances (addresses for external callers) that a node receives.
	EntranceCount = 8
	// MaxEntries bounds the directory at more than three times the entries of a full deployment of 20,000 nodes.
	MaxEntries = 1 << 16
	// MaxNotices bounds the notices of one service.
	MaxNotices = 256

	// entrancesInterval is the time between updates of the entrances, which change rarely. entrancesPerDomain bounds
	// the candidates of each failure domain.
	entrancesInterval  = 10 * time.Second
	entrancesPerDomain = 32

	maxNoticeBytes    = 512
	maxNoticeLifetime = 24 * time.Hour
	maxNameBytes      = 256
	maxWatched        = 1024
	// tombstoneRetention is how long a removed entry is remembered, so that a delayed message does not restore it.
	tombstoneRetention = 2 * expiryWindow
	// minLoadChange is the change of load, in thousandths, that is sent to the other control instances.
	minLoadChange = 200
	// maxWatcherBytes bounds the update of one watcher, maxTickBytes the updates of all watchers in one interval.
	maxWatcherBytes = 64 << 10
	maxTickBytes    = 1 << 20
	// maxTickHashes bounds the rendezvous hashes that are computed in one interval, a few milliseconds of work.
	maxTickHashes = 200_000
	// maxMessageEntries keeps an exchange message far below crwire.MaxMessageBytes.
	maxMessageEntries = 1000
)

// States of a backend server.
const (
	Starting uint32 = iota + 1
	Serving
	Leaving
)

// Config is the configuration of a Core.
type Config struct {
	// Name is the name of this control instance.
	Name string
}

// Output is a message that the caller of Core must send, ToPeer or ToWatcher. Outputs are sent in order.
type Output any

// ToPeer sends a message to the peer control instance that is subscribed on the link.
type ToPeer struct {
	Link    uint64
	Message *crwire.DirectoryExchange
}

// ToWatcher sends an update to the node that watches on the link.
type ToWatcher struct {
	Link    uint64
	Message *crwire.DirectoryUpdate
}

// Counters are the counts of events since the start.
type Counters struct {
	Announces     uint64
	Renewals      uint64
	Stale         uint64
	Replaced      uint64
	Left          uint64
	Expired       uint64
	Suspected     uint64
	Recovered     uint64
	Refused       uint64
	Updates       uint64
	UpdateBytes   uint64
	ExchangeSent  uint64
	ExchangeTaken uint64
	Notices       uint64
	NoticesFull   uint64
}

// Status is the state of a directory for dumps.
type Status struct {
	Name     string
	Entries  int
	Owned    int
	Suspects int
	Services int
	Notices  int
	Watchers int
	Peers    []string
	Settled  bool
	Counters Counters
}
