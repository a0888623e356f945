// Package crcoord implements the coordinator. A few coordinators store the routing configuration as whole documents
// in a replicated log, repair the membership of that log, stream the configuration to nodes and serve the directory
// of nodes and backend servers.
package crcoord

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronramp/citronramp/internal/cradmin"
	"github.com/citronramp/citronramp/internal/crdirectory"
	"github.com/citronramp/citronramp/internal/crdocument"
	"github.com/citronramp/citronramp/internal/crevent"
	"github.com/citronramp/citronramp/internal/crintake"
	"github.com/citronramp/citronramp/internal/crreplica"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crlog"
	"github.com/citronramp/citronramp/pkg/crquorum"
	"github.com/citronramp/citronramp/pkg/crstore"
)

// Settings are the settings of a coordinator.
type Settings struct {
	Name   string
	Domain string
	// Address is the address at which other processes of the system reach this coordinator.
	Address string
	DataDir string
	// Seeds are the addresses of some coordinators. At the first start of the system all coordinators have the same
	// seeds.
	Seeds []string
	// FirstStart is set only when the whole system starts for the first time, with empty disks.
	FirstStart bool
	// ToleratedFailures is the number of coordinators that may fail at the same time; it determines the number of voters.
	ToleratedFailures int
	// MemoryBytes is the memory limit of the process, MaxDescriptors the number of descriptors that it may open.
	MemoryBytes    int64
	MaxDescriptors int
	// StopTimeout bounds the transfer of leadership at a planned stop.
	StopTimeout time.Duration
}

// Coordinator is one coordinator process. Set the exported fields, then call Run once.
type Coordinator struct {
	Settings Settings
	// Inner is the listener at Settings.Address, API is the listener for operators, which Handler serves, and Admin
	// is the listener for metrics and dumps. Admin may be nil.
	Inner, API, Admin net.Listener
	Handler           http.Handler
	Log               *crevent.Log
	Counters          cradmin.Counters

	endpoint       *crwire.Endpoint
	machine        *crdocument.Machine
	packCache      crdocument.PackCache
	hints          hints
	notices        *softStateFile
	intake         crintake.Budget
	replica        *crreplica.Replica
	directory      *crdirectory.Server
	peers          peers
	quotas         quotas
	confirmedState atomic.Pointer[confirmedState]
	// confirmation records when this coordinator last confirmed with the leader that its state is current.
	confirmation crreplica.Confirmation
	started      atomic.Bool

	wg sync.WaitGroup
}

// Run serves until ctx ends, then transfers leadership and stops. It returns an error when the storage has failed.
func (c *Coordinator) Run(ctx context.Context) error {
	if err := c.prepare(); err != nil {
		return err
	}
	run, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 1)
	c.start(run, failed)
	c.started.Store(true)
	c.Log.Emit(time.Now(), crevent.State, crevent.Started, crevent.KeyMember, c.replica.ID, crevent.KeyAddress, c.Settings.Address,
		crevent.KeyVersion, c.version(), crevent.KeyCount, len(c.replica.Bootstrap))
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
	}
	c.Log.Emit(time.Now(), crevent.State, crevent.Stopping, crevent.KeyError, err)
	c.stop(cancel)
	c.Log.Emit(time.Now(), crevent.State, crevent.Stopped, crevent.KeyVersion, c.version())
	return err
}

// logSnapshotBytes is the size of the log in memory at which a snapshot replaces it. It bounds both the memory and
// the time of a restart.
const logSnapshotBytes = 4 << 20

func (c *Coordinator) prepare() error {
	c.endpoint = &crwire.Endpoint{
		Identity: crwire.Identity{Self: crwire.Peer{
			Name: c.Settings.Name, Incarnation: time.Now().UTC().Format("20060102T150405.000000000"), Role: crwire.RoleControl,
		}},
		Mux:       &crwire.Mux{},
		OnRefused: func(net.Addr, error) { c.Counters.Add("inner_refused", 1) },
		OnAcceptError: func(err error) {
			c.Counters.Add("inner_accept_failed", 1)
			c.Log.Emit(time.Now(), crevent.State, crevent.DependencyLost, crevent.KeyDetail, "inner", crevent.KeyError, err)
		},
	}
	c.machine = crdocument.New()
	c.confirmedState.Store(&confirmedState{changed: make(chan struct{})})
	c.peers.init(c.Settings.Address, c.Settings.Seeds)
	newLogID := func() (uint64, error) {
		if crquorum.InitialMembers(c.Settings.Address, c.Settings.Seeds, c.Settings.FirstStart, true) != nil {
			return crquorum.InitialMemberID(c.Settings.Address), nil
		}
		return crstore.RandomID()
	}
	report := func(format string, args ...any) {
		c.Log.Emit(time.Now(), crevent.State, crevent.Message, crevent.KeyDetail, fmt.Sprintf(format, args...))
	}
	store, state, err := crstore.Open(crstore.OS{}, c.Settings.DataDir, c.Settings.Name, newLogID, report)
	if err != nil {
		return err
	}
	c.replica = &crreplica.Replica{
		ID: store.Identity().ID, Address: c.Settings.Address, Store: store, State: state, Endpoint: c.endpoint, StateMachine: c.machine,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Log: crlog.Config{SnapshotBytes: logSnapshotBytes},
	}
	c.confirmation.Reader = c.replica
	if c.replica.ID == crquorum.InitialMemberID(c.Settings.Address) {
		c.replica.Bootstrap = crquorum.InitialMembers(c.Settings.Address, c.Settings.Seeds, c.Settings.FirstStart, true)
	}
	c.directory = &crdirectory.Server{Name: c.Settings.Name, Endpoint: c.endpoint}
	c.replica.Register(c.endpoint.Mux)
	c.directory.Register(c.endpoint.Mux)
	c.register()
	c.gauges()
	c.limitClients()
	c.loadHints()
	c.notices = c.noticesFile()
	c.loadNotices()
	return nil
}

func (c *Coordinator) start(ctx context.Context, failed chan<- error) {
	c.wg.Go(func() { c.logUnexpectedEnd("inner", c.endpoint.Serve(c.Inner)) })
	c.wg.Go(func() {
		if err := c.replica.Run(ctx); err != nil && ctx.Err() == nil {
			failed <- err
		}
	})
	c.wg.Go(func() { c.logUnexpectedEnd("directory", c.directory.Run(ctx)) })
	c.wg.Go(func() { c.helloLoop(ctx) })
	c.wg.Go(func() { c.repairLoop(ctx) })
	c.wg.Go(func() { c.confirmation.Run(ctx) })
	c.wg.Go(func() { c.confirmedLoop(ctx) })
	c.wg.Go(func() { c.hintsFile().loop(ctx) })
	c.wg.Go(func() {
		cradmin.WatchSuspensions(ctx, &c.Counters, func(pause time.Duration) {
			c.Log.Emit(time.Now(), crevent.State, crevent.Suspended, crevent.KeyTook, pause, crevent.KeyTerm, c.replica.Status().Term)
		})
	})
	c.wg.Go(func() { c.notices.loop(ctx) })
	api, admin := c.clientListeners()
	c.wg.Go(func() { c.logUnexpectedEnd("api", cradmin.Serve(ctx, api, c.Handler)) })
	if c.Admin != nil {
		c.wg.Go(func() {
			c.logUnexpectedEnd("admin", cradmin.Serve(ctx, admin, (&cradmin.Admin{Dumper: c, Counters: &c.Counters}).Handler()))
		})
	}
}

func (c *Coordinator) logUnexpectedEnd(component string, err error) {
	if !cradmin.IsUnexpectedError(err) {
		return
	}
	c.Log.Emit(time.Now(), crevent.State, crevent.DependencyLost, crevent.KeyDetail, component, crevent.KeyError, err)
}

func (c *Coordinator) stop(cancel context.CancelFunc) {
	ctx, done := context.WithTimeout(context.Background(), c.Settings.StopTimeout)
	defer done()
	c.replica.Stop(ctx)
	cancel()
	_ = c.Inner.Close()
	if !cradmin.WaitWithin(shutdownTimeout, c.endpoint.Close, c.wg.Wait) {
		c.Log.Emit(time.Now(), crevent.State, crevent.Message, crevent.KeyDetail, "some duties have not ended")
	}
}

// shutdownTimeout bounds the wait for the background goroutines after the transfer of leadership.
const shutdownTimeout = time.Second

// Started reports whether Run has initialised the coordinator; the other methods may be called only then.
func (c *Coordinator) Started() bool { return c.started.Load() }

func (c *Coordinator) version() uint64 {
	d, _ := c.machine.Current()
	return d.GetVersion()
}
