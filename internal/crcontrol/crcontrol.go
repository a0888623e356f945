// Package crcontrol implements the control instance (coordinator). It is a member of the consensus log, serves the HTTP
// interface for operators, keeps a directory of the nodes and is a root of the configuration distribution tree.
package crcontrol

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/citronramp/citronramp/internal/cradmin"
	"github.com/citronramp/citronramp/internal/crdirectory"
	"github.com/citronramp/citronramp/internal/crintake"
	"github.com/citronramp/citronramp/internal/crreplica"
	"github.com/citronramp/citronramp/internal/crsettings"
	"github.com/citronramp/citronramp/internal/crspread"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crclock"
)

// Control is one control instance. Set the exported fields, then call Run once.
type Control struct {
	Settings crsettings.Control
	// Inner, Operator and Admin are open listeners on the addresses in the settings: for other processes of the
	// deployment, for operator commands, and for the state dump and counters.
	Inner, Operator, Admin net.Listener
	Logger                 log.Logger
	// NewCluster lets an instance with an empty data folder start a new log with the members of the settings. Without
	// it the instance waits until an operator adds it as a member.
	NewCluster bool
	Counters   cradmin.Counters

	endpoint     *crwire.Endpoint
	stateMachine *stateMachine
	replica      *crreplica.Replica
	root         *crspread.Root
	directory    *crdirectory.Server
	confirm      crreplica.Confirmation
	intake       crintake.Budget
	// handovers is accessed only by the goroutine of keeperLoop.
	handovers handoverTracker

	wg sync.WaitGroup
}

// Run serves until ctx ends, then transfers leadership and stops. It returns an error if the start failed or if the log
// stopped before ctx ended.
func (c *Control) Run(ctx context.Context) error {
	if err := c.prepare(ctx); err != nil {
		return err
	}
	duties, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed := make(chan error, 1)
	c.start(duties, failed)
	_ = level.Info(c.Logger).Log("msg", "control instance started", "name", c.Settings.Name, "member_id", c.replica.ID,
		"inner", c.Inner.Addr(), "operator", c.Operator.Addr(), "first_members", len(c.Settings.Members))
	if c.onlyVoter() {
		_ = level.Info(c.Logger).Log("msg", "this control instance is the only voter; run three or five in production")
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		_ = level.Error(c.Logger).Log("msg", "consensus log stopped; the state dump remains available", "err", err)
		<-ctx.Done()
	}
	c.stop(cancel)
	_ = level.Info(c.Logger).Log("msg", "control instance stopped", "name", c.Settings.Name)
	return err
}

// onlyVoter reports whether this instance is the only voter according to the settings.
func (c *Control) onlyVoter() bool { return len(c.Settings.Members) <= 1 && !c.Settings.Observer }

// prepare opens the data folder and creates the components.
func (c *Control) prepare(ctx context.Context) error {
	c.endpoint = &crwire.Endpoint{
		Identity: crwire.Identity{
			Self:   crwire.Peer{Name: c.Settings.Name, Incarnation: incarnation(), Role: crwire.RoleControl},
			Secret: []byte(c.Settings.Secret),
		},
		Mux:       &crwire.Mux{},
		OnRefused: func(net.Addr, error) { c.Counters.Add("inner_refused", 1) },
		OnAcceptError: func(err error) {
			c.Counters.Add("inner_accept_failed", 1)
			_ = level.Error(c.Logger).Log("msg", "cannot accept connections of other processes for a while", "err", err)
		},
	}
	c.stateMachine = newStateMachine(func() bool { return c.confirm.Valid(crclock.Now()) })
	if err := c.openReplica(ctx); err != nil {
		return err
	}
	c.confirm = crreplica.Confirmation{Reader: c.replica, OnFailure: func() { c.Counters.Add("confirmations_failed", 1) }}
	c.root = &crspread.Root{
		Config: crspread.Config{
			Name: c.Settings.Name, Incarnation: c.endpoint.Identity.Self.Incarnation, Domain: c.Settings.Domain,
			Address: c.Settings.Inner, Source: c.stateMachine,
		},
		Endpoint: c.endpoint,
	}
	c.directory = &crdirectory.Server{Name: c.Settings.Name, Peers: c.peers(), Endpoint: c.endpoint}
	c.replica.Register(c.endpoint.Mux)
	c.root.Register(c.endpoint.Mux)
	c.directory.Register(c.endpoint.Mux)
	c.register()
	c.gauges()
	c.limitClients()
	return nil
}

// incarnation returns an identifier of this run of the process: its start time.
func incarnation() string { return time.Now().UTC().Format("20060102T150405.000000000") }

// peers returns the inner addresses of the other control instances in the settings, including the addresses to join
// through.
func (c *Control) peers() []string {
	var out []string
	for _, m := range c.Settings.Members {
		if m.Inner != c.Settings.Inner {
			out = append(out, m.Inner)
		}
	}
	return append(out, c.Settings.Join...)
}

// start starts all background tasks. If the consensus log stops before ctx ends, its error is sent on failed.
func (c *Control) start(ctx context.Context, failed chan<- error) {
	c.run(func() { c.reportFailure("inner", c.endpoint.Serve(c.Inner)) })
	c.run(func() {
		if err := c.replica.Run(ctx); err != nil && ctx.Err() == nil {
			failed <- err
		}
	})
	c.run(func() { c.reportFailure("tree", c.root.Run(ctx)) })
	c.run(func() { c.reportFailure("directory", c.directory.Run(ctx)) })
	c.run(func() { c.confirm.Run(ctx) })
	c.run(func() { c.keeperLoop(ctx) })
	c.run(func() {
		cradmin.WatchSuspensions(ctx, &c.Counters, func(slept time.Duration) {
			_ = level.Info(c.Logger).Log("msg", "the machine was suspended", "took", slept)
		})
	})
	operator, admin := c.clientListeners()
	c.run(func() { c.reportFailure("operator", cradmin.Serve(ctx, operator, c.operatorHandler())) })
	c.run(func() {
		c.reportFailure("admin", cradmin.Serve(ctx, admin, (&cradmin.Admin{Dumper: c, Counters: &c.Counters}).Handler()))
	})
}

// run runs f in a goroutine that stop waits for.
func (c *Control) run(f func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		f()
	}()
}

// reportFailure counts and logs an unexpected end of a background task.
func (c *Control) reportFailure(task string, err error) {
	if !cradmin.IsUnexpectedError(err) {
		return
	}
	c.Counters.Add("duties_failed", 1)
	_ = level.Error(c.Logger).Log("msg", "background task failed", "duty", task, "err", err)
}

// stop transfers leadership, then ends all background tasks and waits for them.
func (c *Control) stop(cancel context.CancelFunc) {
	ctx, done := context.WithTimeout(context.Background(), c.Settings.StopTimeout)
	defer done()
	c.replica.Stop(ctx)
	cancel()
	_ = c.Inner.Close()
	c.endpoint.Close()
	c.wg.Wait()
}
