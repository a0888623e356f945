// Package crdirectory is the membership directory: soft state of nodes and backend servers on the control instances, kept
// by leases. Core is the pure part for a control instance; Server runs it, Client is the part of a node.
package crdirectory

import (
	"time"

	"github.com/citronramp/citronramp/internal/crwire"
)

// Sizes and times of the directory.
const (
	// Lease is how long an entry lives without a renewal.
	Lease = 10 * time.Second
	// RenewInterval is the mean time between renewals of a node; three of them fit into a lease.
	RenewInterval = 3 * time.Second
	// ExchangeInterval is the time between exchanges of control instances and between updates of watchers.
	ExchangeInterval = 200 * time.Millisecond
	// OwnerGrace is how long the entries of a lost control instance are kept for another one to take over.
	OwnerGrace = 15 * time.Second
	// expiryWindow and the half in expiries.allow bound what a false suspicion can remove.
	expiryWindow = 30 * time.Second
	// SubsetSize bounds the servers of a service that a caller node knows.
	SubsetSize = 20
	// EntranceCount bounds the entrances that a node tells callers.
	EntranceCount = 8
	// MaxEntries bounds the directory at more than three times the full size of 20,000 nodes.
	MaxEntries = 1 << 16
	// MaxNotices bounds the notices of one service.
	MaxNotices = 256

	// entrancesInterval is the time between looks at the entrances, which change seldom; entrancesPerDomain bounds what
	// they are picked from.
	entrancesInterval  = 10 * time.Second
	entrancesPerDomain = 32

	maxNoticeBytes = 512
	maxNoticeLife  = 24 * time.Hour
	maxNameBytes   = 256
	maxWatched     = 1024
	// goneHold keeps what left, so that a delayed message of it does not bring it back.
	goneHold = 2 * expiryWindow
	// loadStep is the change of load, in thousandths, from which other control instances are told.
	loadStep = 200
	// watcherBytes and tickBytes bound the updates of one watcher and of all watchers in one interval.
	watcherBytes = 64 << 10
	tickBytes    = 1 << 20
	// tickHashes bounds the server hashes of one interval, a few milliseconds of work.
	tickHashes = 200_000
	// partEntries bounds an exchange message far below crwire.MaxMessageBytes.
	partEntries = 1000
)

// States of a server.
const (
	Starting uint32 = iota + 1
	Serving
	Leaving
)

// Config is the identity of a control instance.
type Config struct {
	// Name is the control instance's own name.
	Name string
}

// Output is what the caller of Core must do, one of the types below, in order.
type Output any

// ToPeer sends a message to another control instance that listens on the link.
type ToPeer struct {
	Link    uint64
	Message *crwire.DirectoryExchange
}

// ToWatcher sends an update to a watching node.
type ToWatcher struct {
	Link    uint64
	Message *crwire.DirectoryUpdate
}

// Counters counts events since the start.
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
