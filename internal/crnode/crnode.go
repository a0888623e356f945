// Package crnode implements the node, the sidecar of a backend server. It has an entrance, which accepts requests of
// callers; a gate, which admits calls to the backend server; and an outbound side for the downstream calls of the backend
// server. It also relays the configuration and keeps records of request ids.
package crnode

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/citronramp/citronramp/internal/cradmin"
	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crdirectory"
	"github.com/citronramp/citronramp/internal/crintake"
	"github.com/citronramp/citronramp/internal/crkeeper"
	"github.com/citronramp/citronramp/internal/crring"
	"github.com/citronramp/citronramp/internal/crsettings"
	"github.com/citronramp/citronramp/internal/crspread"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/cradmission"
	"github.com/citronramp/citronramp/pkg/crbudget"
	"github.com/citronramp/citronramp/pkg/crclock"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crquarantine"
	"github.com/citronramp/citronramp/pkg/crrecord"
)

// tickInterval is the interval at which the gate removes expired requests.
const tickInterval = 10 * time.Millisecond

// maxConvictions bounds the convictions that wait to be sent to a control instance.
const maxConvictions = 256

// Node is one node process. Set the exported fields, then call Run once.
type Node struct {
	Settings crsettings.Node
	// Callers, Inner and Admin are the listeners for the addresses in the settings.
	Callers, Inner, Admin net.Listener
	Logger                log.Logger
	// Incarnation changes each time the node starts. A random one is generated when it is empty.
	Incarnation string
	Policy      Policy
	// Suspended returns for how long the machine was suspended so far; crclock.Suspended when nil.
	Suspended func() time.Duration
	Counters  cradmin.Counters

	endpoint   *crwire.Endpoint
	view       *crconfig.View
	gate       gate
	backend    *backend
	lease      lease
	executions executions
	// admittedCalls counts the calls that hold a place at the gate.
	admittedCalls atomic.Int64
	places        cradmission.Places
	shedKinds     shedCounts
	runTimes      runTimes
	goodput       goodput
	requests      requestTracker
	arrivals      *crbudget.RetryCounter
	levels        *cradmission.LevelTable
	reach         *cradmission.DependencyTable

	clock     crkeeper.Clock
	claims    claims
	directory *crdirectory.Client
	spread    *crspread.Node
	// convictions wait here until a control instance has recorded them.
	convictions *crring.Ring[conviction]

	crashMu         sync.Mutex
	quarantine      crquarantine.Tracker
	intake          crintake.Budget
	crashedInstance string
	// lastAbandoned is the last run that ended without an answer while the backend server may have continued it.
	lastAbandoned conviction

	servicesMu sync.Mutex
	services   map[string]*service
	watched    map[string]bool
	// covered are the watched services whose configuration the view holds. configChanged is closed and replaced at each
	// update.
	covered        map[string]bool
	configChanged  chan struct{}
	lookups        lookupRate
	otherEntrances []string

	rndMu sync.Mutex
	rnd   *rand.Rand

	initOnce sync.Once
}

// init creates the components that need no network. It runs before the first use of the node.
func (n *Node) init() {
	n.initOnce.Do(func() {
		if n.Incarnation == "" {
			n.Incarnation = fmt.Sprintf("%08x", rand.Uint32())
		}
		n.view = crconfig.NewView()
		n.backend = newBackend(n.Settings.MaxBodyBytes)
		n.places.Size = n.Settings.MaxRequests
		n.arrivals = &crbudget.RetryCounter{}
		n.levels = &cradmission.LevelTable{}
		n.reach = &cradmission.DependencyTable{}
		n.services = make(map[string]*service)
		n.watched = map[string]bool{n.Settings.Service: true}
		n.covered = make(map[string]bool)
		n.configChanged = make(chan struct{})
		n.convictions = crring.New[conviction](maxConvictions)
		n.rnd = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
		n.gate = n.newGate()
		n.clock = crkeeper.NewClock()
		if n.Suspended == nil {
			n.Suspended = crclock.Suspended
		}
		n.quarantine.Server = n.Settings.Name
	})
}

// initialSlots is the concurrency limit until the backend server announces its slots.
const initialSlots = 8

func (n *Node) newGate() gate {
	switch n.Policy {
	case NoControl:
		return unlimitedGate{}
	case FixedLimit:
		return newFixedGate(initialSlots, n.Settings.QueueTime)
	}
	return newAdaptiveGate(initialSlots, n.Settings.QueueLength, n.Settings.QueueTime)
}

// Prefix returns the prefix of the request ids that this node generates.
func (n *Node) Prefix() string {
	n.init()
	return n.Settings.Name + "-" + n.Incarnation
}

func (n *Node) innerAddress() string { return n.Settings.Inner }

func (n *Node) newID(now time.Time) crrecord.ID {
	n.rndMu.Lock()
	defer n.rndMu.Unlock()
	return crrecord.NewID(n.Prefix(), now.UnixMilli(), n.rnd.Uint64())
}

// Run serves until ctx ends, then stops gracefully. The error reports the requests that were cut off.
func (n *Node) Run(ctx context.Context) error {
	n.init()
	n.gauges()
	p, err := n.start()
	if err != nil {
		return err
	}
	_ = level.Info(n.Logger).Log("msg", "node started", "name", n.Settings.Name, "incarnation", n.Incarnation, "listen", n.Callers.Addr(), "inner", n.Inner.Addr())
	<-ctx.Done()
	left := n.drain(p)
	p.stop()
	_ = level.Info(n.Logger).Log("msg", "node stopped", "name", n.Settings.Name, "cut_off", left)
	if left > 0 {
		return crcode.New(crcode.Stopping, "%d requests were cut off after %s", left, n.Settings.StopTimeout)
	}
	return nil
}

// drain announces that this node leaves, refuses new requests and waits for those in flight. It returns the number of
// requests that were left at the stop timeout.
func (n *Node) drain(p *components) int {
	ctx, cancel := context.WithTimeout(context.Background(), n.Settings.StopTimeout)
	defer cancel()
	n.requests.refuseNew()
	p.announceLeaving(ctx)
	left := n.requests.drain(ctx)
	n.awaitHandover(ctx)
	return left
}

// tickLoop removes expired requests from the queue and expires levels and server exclusions.
func (n *Node) tickLoop(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			n.tick(time.Now())
		}
	}
}

func (n *Node) tick(now time.Time) {
	n.gate.tick(now)
	n.servicesMu.Lock()
	defer n.servicesMu.Unlock()
	for _, s := range n.services {
		s.tick(now)
	}
}
