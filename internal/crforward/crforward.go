// Package crforward is the node for forwarded HTTP: the entrance takes the requests of clients and servers on its
// instance, places them on a server of the route's service, and the gate beside that server lets them run.
package crforward

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronramp/citronramp/internal/cradmin"
	"github.com/citronramp/citronramp/internal/crdirectory"
	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crexchange"
	"github.com/citronramp/citronramp/internal/crpipeline"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crclock"
	"github.com/citronramp/citronramp/pkg/crcost"
	"github.com/citronramp/citronramp/pkg/crroute"
	"github.com/citronramp/citronramp/pkg/crshed"
)

// Headers are the names by which clients and backend servers tell and are told things about one request.
type Headers struct {
	// RequestID identifies one attempt of a client; servers echo it.
	RequestID string
	// Timeout is the time that the sender still waits, in milliseconds.
	Timeout string
	// Caller is the service of the instance where the request began.
	Caller string
	// ExpectServer names the only server that may run the request.
	ExpectServer string
	// NotRun marks an answer to a request that the server did not run.
	NotRun string
	// RetryAfter is when a refused client should come back, in seconds.
	RetryAfter string
}

// Settings are what a node is told at its start.
type Settings struct {
	Name   string
	Domain string
	Region string
	// Service is that of the backend server on this instance, ServerAddress where it listens.
	Service       string
	ServerAddress string
	// Address is where the gates of other nodes are told to reach this one.
	Address string
	// Seeds are addresses of coordinators.
	Seeds   []string
	Headers Headers
	// RetryRatio is the share of its requests that a service may get again, all nodes together.
	RetryRatio float64
	// Heartbeat is the interval at which the backend server reports itself.
	Heartbeat time.Duration
	// MemoryBytes bounds the process.
	MemoryBytes int64
	// StopTimeout is the time from the order to stop until the process is killed.
	StopTimeout time.Duration
}

// Parser decodes a document into a routing table.
type Parser func(d *crwire.Document) (*crroute.Table, error)

// Node is one forwarding node. Set the exported fields, then call Run once.
type Node struct {
	Settings Settings
	// Entrance listens for the requests of this instance, Inbound for other nodes, Ready for the question whether the node
	// takes requests, Control for the backend server's reports; Admin for metrics may be nil.
	Entrance, Inbound, Ready, Control, Admin net.Listener
	// ControlHandler answers on Control; ReadyPath is the path of the question.
	ControlHandler http.Handler
	ReadyPath      string
	Parse          Parser
	// Suspended returns for how long the machine was suspended so far; crclock.Suspended when nil.
	Suspended func() time.Duration
	Log       *crevent.Log
	Counters  cradmin.Counters

	table     atomic.Pointer[crroute.Table]
	documents documents
	// unlearned is set when a request comes whose route this node knows too little of.
	unlearned atomic.Bool
	endpoint  *crwire.Endpoint
	directory *crdirectory.Client
	follower  follower
	gate      *gate
	services  services
	suspects  suspects
	departed  departed
	peers     hops
	bodies    bodies
	board     crshed.Board
	shares    crshed.Shares
	costs     routeCosts
	costLines costLines
	origins   routeOrigins
	ledger    *crcost.Ledger
	answers   atomic.Uint64
	// callFailed is when a call of the backend server failed last, in Unix nanoseconds.
	callFailed atomic.Int64
	started    atomic.Bool
	// stopping tells clients to leave, closed lets no further work through the gate.
	stopping, closed atomic.Bool
	// inFlight counts the requests at the entrance.
	inFlight atomic.Int64

	wg sync.WaitGroup
}

// Times of the HTTP servers.
const (
	// headerTimeout bounds the head of a request; it is above what any configuration of the platform has shown, 3 s.
	headerTimeout = 10 * time.Second
	// entranceIdle keeps idle connections of clients longer than any configured idle timeout, 15 s so far.
	entranceIdle = 90 * time.Second
	// hopIdle is how long connections between nodes stay open without a request; the dialing side gives up earlier.
	hopIdle = 60 * time.Second
	// headerBytes bounds the head of a request; the platform's configurations name 16 KiB.
	headerBytes = 64 << 10
)

// Run serves until ctx ends, then finishes the requests in flight.
func (n *Node) Run(ctx context.Context) error {
	n.prepare()
	duties, cancel := context.WithCancel(context.Background())
	defer cancel()
	entrance := n.server(http.HandlerFunc(n.serveEntrance), entranceIdle)
	inbound := n.server(http.HandlerFunc(n.serveInbound), hopIdle)
	entrance.ConnContext = crpipeline.Context
	n.wg.Go(func() { n.ended("entrance", entrance.Serve(crpipeline.Listen(crexchange.Listen(n.Entrance)))) })
	n.wg.Go(func() { n.ended("inbound", inbound.Serve(crexchange.Listen(n.Inbound))) })
	n.wg.Go(func() { n.ended("ready", cradmin.Serve(duties, n.Ready, n.readyHandler())) })
	n.wg.Go(func() { n.ended("control", cradmin.Serve(duties, n.Control, n.ControlHandler)) })
	if n.Admin != nil {
		n.wg.Go(func() {
			n.ended("admin", cradmin.Serve(duties, n.Admin, (&cradmin.Admin{Dumper: n, Counters: &n.Counters}).Handler()))
		})
	}
	n.wg.Go(func() { n.follow(duties, firstTie) })
	n.wg.Go(func() { n.follow(duties, secondTie) })
	n.wg.Go(func() { n.gate.watch(duties) })
	n.wg.Go(func() { n.measure(duties) })
	n.wg.Go(func() {
		cradmin.WatchSuspensions(duties, &n.Counters, func(slept time.Duration) {
			n.Log.Emit(time.Now(), crevent.State, crevent.Suspended, crevent.KeyTook, slept)
		})
	})
	n.started.Store(true)
	n.Log.Emit(time.Now(), crevent.State, crevent.Started, crevent.KeyService, n.Settings.Service, crevent.KeyAddress, n.Settings.Address)
	<-ctx.Done()
	// Runs at the gate may still make calls through the entrance, so it closes last.
	n.stop(inbound, entrance)
	cancel()
	if !cradmin.Await(endLimit, n.wg.Wait, n.endpoint.Close) {
		n.Log.Emit(time.Now(), crevent.State, crevent.Message, crevent.KeyDetail, "some duties have not ended")
	}
	n.Log.Emit(time.Now(), crevent.State, crevent.Stopped)
	return nil
}

// Started reports whether Run has come far enough for the other methods.
func (n *Node) Started() bool { return n.started.Load() }

func (n *Node) prepare() {
	if n.Suspended == nil {
		n.Suspended = crclock.Suspended
	}
	n.endpoint = &crwire.Endpoint{
		Identity: crwire.Identity{Self: crwire.Peer{
			Name: n.Settings.Name, Incarnation: time.Now().UTC().Format("20060102T150405.000000000"), Role: crwire.RoleNode,
		}},
		Mux: &crwire.Mux{},
	}
	n.directory = &crdirectory.Client{Endpoint: n.endpoint, OnSubset: n.takeSubset, OnNotice: func(m *crwire.DirectoryNotice) {
		n.noticed(time.Now(), m)
	}}
	n.suspects.prepare(n)
	n.services.node = n
	n.peers.id = n.requestID
	n.bodies.limit = n.Settings.MemoryBytes / bodyMemoryShare
	n.ledger = &crcost.Ledger{Service: n.Settings.Service}
	n.gate = newGate(n)
	n.follower.seeds(n.Settings.Seeds)
	n.gauges()
	n.announce()
}

func (n *Node) server(h http.Handler, idle time.Duration) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idle, MaxHeaderBytes: headerBytes,
		ErrorLog: discardLog,
	}
}

func (n *Node) ended(duty string, err error) {
	if !cradmin.Unexpected(err) {
		return
	}
	n.Log.Emit(time.Now(), crevent.State, crevent.DependencyLost, crevent.KeyDetail, duty, crevent.KeyError, err)
}

// readyHandler answers 200 while the node takes requests of clients.
func (n *Node) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		if n.stopping.Load() || n.table.Load() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

// jitter returns a random duration below d.
func jitter(d time.Duration) time.Duration { return rand.N(d) }
