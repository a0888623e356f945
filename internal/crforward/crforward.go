// Package crforward implements the node (sidecar) for forwarded HTTP. The entrance accepts requests of clients and of
// the backend server on its instance and forwards each to a server of the route's service. The gate in front of each
// server controls its concurrency.
package crforward

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronramp/citronramp/internal/cradmin"
	"github.com/citronramp/citronramp/internal/crdirectory"
	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crintake"
	"github.com/citronramp/citronramp/internal/crpipeline"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crclock"
	"github.com/citronramp/citronramp/pkg/crcost"
	"github.com/citronramp/citronramp/pkg/crfair"
	"github.com/citronramp/citronramp/pkg/crroute"
	"github.com/citronramp/citronramp/pkg/crshed"
)

// Headers are the names of the HTTP headers that nodes exchange with clients and backend servers.
type Headers struct {
	// RequestID is the header with the id of one attempt of a client; servers echo it.
	RequestID string
	// Timeout is the header with the remaining time of the sender, in milliseconds.
	Timeout string
	// Caller is the header with the service of the instance at whose entrance the request arrived.
	Caller string
	// ExpectServer is the header with the id of the only server that may run the request.
	ExpectServer string
	// NotRun is the header that marks an answer to a request that the server did not run.
	NotRun string
	// RetryAfter is the header that says when a refused client should retry, in seconds.
	RetryAfter string
	// Load is the header in which servers report their load. Without a name loads are not read.
	Load string
	// Key is the header with the key of the client's organisation. It is removed at the entrance.
	Key string
	// Organisation is the header that names the organisation to backend servers. The entrance sets it.
	Organisation string
}

// Settings are the settings of a node.
type Settings struct {
	Name   string
	Domain string
	Region string
	// Service is the service of the backend server on this instance, ServerAddress the address at which that server
	// listens.
	Service       string
	ServerAddress string
	// Address is the address, announced to other nodes, of this node's gate.
	Address string
	// Seeds are the addresses of coordinators from the settings.
	Seeds   []string
	Headers Headers
	// AlikeServers says that the servers of a service are alike, so that nothing follows from how fast each one works.
	AlikeServers bool
	// RetryRatio is the maximum ratio of retries to requests of a service, over all nodes together.
	RetryRatio float64
	// Heartbeat is the interval of the backend server's reports.
	Heartbeat time.Duration
	// MemoryBytes is the memory limit of the process, MaxDescriptors the number of descriptors that it may open.
	MemoryBytes    int64
	MaxDescriptors int
	// RevokeWithin is the time after which no node runs requests with a key that was removed from the configuration, also
	// without contact to coordinators; 0 means that a node without contact goes on with its last configuration.
	RevokeWithin time.Duration
	// ConfigApply is the age of the configuration from which an unknown key may be a new one; 0 means never.
	ConfigApply time.Duration
	// Quota holds the bounds on the quotas of organisations.
	Quota QuotaBounds
	// StopTimeout is the time from the stop signal until the process is killed.
	StopTimeout time.Duration
}

// Parser decodes a configuration document into a routing table.
type Parser func(d *crwire.Document) (*crroute.Table, error)

// Node is a forwarding node. Set the exported fields, then call Run once.
type Node struct {
	Settings Settings
	// Entrance accepts the requests of this instance, Inbound calls from other nodes, Ready readiness checks and
	// Control the reports of the backend server. Admin serves metrics and may be nil.
	Entrance, Inbound, Ready, Control, Admin net.Listener
	// ControlHandler serves Control; ReadyPath is the path of the readiness check.
	ControlHandler http.Handler
	ReadyPath      string
	Parse          Parser
	// Suspended returns the total time for which the machine was suspended; nil means crclock.Suspended.
	Suspended func() time.Duration
	// Clock returns the present time of a clock that counts suspension; nil means crclock.Now.
	Clock    func() time.Time
	Log      *crevent.Log
	Counters cradmin.Counters

	table     atomic.Pointer[crroute.Table]
	documents documents
	// hintsNeeded is set by a request of a route whose origin or cost is unknown, and triggers an exchange of hints.
	hintsNeeded  atomic.Bool
	keyedRoutes  keyedRoutes
	freshness    freshness
	endpoint     *crwire.Endpoint
	directory    *crdirectory.Client
	coordinators coordinators
	gate         *gate
	services     services
	suspects     suspects
	departures   departures
	peers        peerClients
	quotas       quotas
	bodyBudget   bodyBudget
	answerBudget bodyBudget
	intake       crintake.Budget
	board        crshed.PressureTable
	shares       crshed.Admitter
	fair         crfair.Divider
	costs        routeCosts
	costLog      costLog
	origins      routeOrigins
	ledger       *crcost.Estimator
	answers      atomic.Uint64
	// lastCallFailure is when a call made by the backend server last failed, in Unix nanoseconds.
	lastCallFailure atomic.Int64
	started         atomic.Bool
	// stopping is set during a graceful stop, in which the node reports itself not ready. gateClosed makes the gate
	// refuse new work.
	stopping   atomic.Pointer[stopState]
	gateClosed atomic.Bool
	// untilGivenUp ends when a stop gives up the requests that are left, by a call of giveUp.
	untilGivenUp context.Context
	giveUp       context.CancelFunc
	// inFlight is the number of requests at the entrance.
	inFlight atomic.Int64

	wg sync.WaitGroup
}

// Timeouts and limits of the HTTP servers.
const (
	// headerTimeout limits the time to read a request's header; the longest that the platform configures is 3 s.
	headerTimeout = 10 * time.Second
	// entranceIdleTimeout is longer than the idle timeout of any client, which is at most 15 s so far.
	entranceIdleTimeout = 90 * time.Second
	// inboundIdleTimeout is how long an idle connection from another node stays open. The dialing side closes earlier.
	inboundIdleTimeout = 60 * time.Second
	// maxHeaderBytes limits the header of a request; the platform configures 16 KiB.
	maxHeaderBytes = 64 << 10
)

// Run serves until ctx ends, then finishes the requests in flight.
func (n *Node) Run(ctx context.Context) error {
	n.prepare()
	defer n.giveUp()
	tasks, cancel := context.WithCancel(context.Background())
	defer cancel()
	entrance := n.server(http.HandlerFunc(n.serveEntrance), entranceIdleTimeout)
	inbound := n.server(http.HandlerFunc(n.serveInbound), inboundIdleTimeout)
	entrance.ConnContext = crpipeline.ConnContext
	ln := n.listeners()
	ln.entrance.Attach(entrance)
	ln.inbound.Attach(inbound)
	n.wg.Go(func() { n.logTaskEnd("entrance", entrance.Serve(ln.entrance)) })
	n.wg.Go(func() { n.logTaskEnd("inbound", inbound.Serve(ln.inbound)) })
	n.wg.Go(func() { n.logTaskEnd("ready", cradmin.Serve(tasks, ln.ready, n.readyHandler())) })
	n.wg.Go(func() { n.logTaskEnd("control", cradmin.Serve(tasks, ln.control, n.ControlHandler)) })
	if n.Admin != nil {
		n.wg.Go(func() {
			n.logTaskEnd("admin", cradmin.Serve(tasks, ln.admin, (&cradmin.Admin{Dumper: n, Counters: &n.Counters}).Handler()))
		})
	}
	n.wg.Go(func() { n.follow(tasks, primaryLink) })
	n.wg.Go(func() { n.follow(tasks, secondaryLink) })
	n.wg.Go(func() { n.gate.watchReports(tasks) })
	n.wg.Go(func() { n.sampleLoad(tasks) })
	n.wg.Go(func() { n.watchFreshness(tasks) })
	if n.quotasEnforced() {
		n.wg.Go(func() { n.acquireQuotas(tasks) })
	}
	n.wg.Go(func() {
		cradmin.WatchSuspensions(tasks, &n.Counters, func(slept time.Duration) {
			n.Log.Emit(time.Now(), crevent.State, crevent.Suspended, crevent.KeyTook, slept)
		})
	})
	n.started.Store(true)
	n.Log.Emit(time.Now(), crevent.State, crevent.Started, crevent.KeyService, n.Settings.Service, crevent.KeyAddress, n.Settings.Address)
	<-ctx.Done()
	n.stop(inbound, entrance)
	cancel()
	if !cradmin.WaitWithin(taskEndTimeout, n.wg.Wait, n.endpoint.Close) {
		n.Log.Emit(time.Now(), crevent.State, crevent.Message, crevent.KeyDetail, "some duties have not ended")
	}
	n.Log.Emit(time.Now(), crevent.State, crevent.Stopped)
	return nil
}

// Started reports whether Run has prepared the node so that its other methods may be called.
func (n *Node) Started() bool { return n.started.Load() }

func (n *Node) prepare() {
	if n.Suspended == nil {
		n.Suspended = crclock.Suspended
	}
	if n.Clock == nil {
		n.Clock = crclock.Now
	}
	n.untilGivenUp, n.giveUp = context.WithCancel(context.Background())
	n.endpoint = &crwire.Endpoint{
		Identity: crwire.Identity{Self: crwire.Peer{
			Name: n.Settings.Name, Incarnation: time.Now().UTC().Format("20060102T150405.000000000"), Role: crwire.RoleNode,
		}},
		Mux: &crwire.Mux{},
	}
	n.directory = &crdirectory.Client{Endpoint: n.endpoint, OnSubset: n.updateServers, OnNotice: func(m *crwire.DirectoryNotice) {
		n.handleNotice(time.Now(), m)
	}}
	n.suspects.prepare(n)
	n.services.node = n
	n.peers.requestID = n.requestID
	n.board.RetryRatio = n.Settings.RetryRatio
	n.bodyBudget.limit = n.Settings.MemoryBytes / bodyMemoryShare
	n.answerBudget.limit = cmp.Or(n.bodyBudget.limit, math.MaxInt64)
	n.ledger = &crcost.Estimator{Service: n.Settings.Service}
	n.gate = newGate(n)
	n.coordinators.configure(n.Settings.Seeds)
	n.declareMetrics()
	n.prepareQuotas()
	n.directory.Watch(nil, []string{n.departureTopic()})
	n.announce()
}

func (n *Node) server(h http.Handler, idle time.Duration) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idle, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: discardLog,
	}
}

func (n *Node) logTaskEnd(task string, err error) {
	if !cradmin.IsUnexpectedError(err) {
		return
	}
	n.Log.Emit(time.Now(), crevent.State, crevent.DependencyLost, crevent.KeyDetail, task, crevent.KeyError, err)
}

// readyHandler answers readiness checks: 200 while the node accepts requests of clients, otherwise 503.
func (n *Node) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if n.stopping.Load() != nil || n.table.Load() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// jitter returns a random duration in [0, d).
func jitter(d time.Duration) time.Duration { return rand.N(d) }
