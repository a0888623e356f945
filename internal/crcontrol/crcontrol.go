// Package crcontrol is the control instance: a member of the replicated log, the operators' HTTP interface, a directory
// of the nodes and a root of the configuration tree.
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
	"github.com/citronramp/citronramp/internal/crreplica"
	"github.com/citronramp/citronramp/internal/crsettings"
	"github.com/citronramp/citronramp/internal/crspread"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crclock"
)

// Control is one control instance; set the exported fields, then call Run once.
type Control struct {
	Settings crsettings.Control
	// Inner, Operator and Admin are the listeners for the addresses in the settings.
	Inner, Operator, Admin net.Listener
	Logger                 log.Logger
	// NewCluster allows an empty data folder to start a new log with the members of the settings; without it the
	// instance waits until an operator adds it.
	NewCluster bool
	Counters   cradmin.Counters

	endpoint  *crwire.Endpoint
	machine   *machine
	replica   *crreplica.Replica
	root      *crspread.Root
	directory *crdirectory.Server
	confirm   crreplica.Confirmation
	// handovers is used by keeperLoop only.
	handovers handovers

	wg sync.WaitGroup
}

// Run serves until ctx ends, then hands leadership over and stops; the error tells what ended it before.
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
	if c.alone() {
		_ = level.Info(c.Logger).Log("msg", "this control instance is the only voter; use three or five in production")
	}
	var err error
	select {
	case <-ctx.Done():
	case err = <-failed:
		_ = level.Error(c.Logger).Log("msg", "the log has stopped; the state dump stays readable", "err", err)
		<-ctx.Done()
	}
	c.stop(cancel)
	_ = level.Info(c.Logger).Log("msg", "control instance stopped", "name", c.Settings.Name)
	return err
}

// alone reports whether the settings make this instance the only voter.
func (c *Control) alone() bool { return len(c.Settings.Members) <= 1 && !c.Settings.Observer }

// prepare opens the data folder and makes all parts.
func (c *Control) prepare(ctx context.Context) error {
	c.endpoint = &crwire.Endpoint{
		Identity: crwire.Identity{
			Self:   crwire.Peer{Name: c.Settings.Name, Incarnation: incarnation(), Role: crwire.RoleControl},
			Secret: []byte(c.Settings.Secret),
		},
		Mux:       &crwire.Mux{},
		OnRefused: func(net.Addr, error) { c.Counters.Add("inner_refused", 1) },
	}
	c.machine = newMachine(func() bool { return c.confirm.Valid(crclock.Now()) })
	if err := c.openReplica(ctx); err != nil {
		return err
	}
	c.confirm = crreplica.Confirmation{Reader: c.replica, OnFailure: func() { c.Counters.Add("confirmations_failed", 1) }}
	c.root = &crspread.Root{
		Config: crspread.Config{
			Name: c.Settings.Name, Incarnation: c.endpoint.Identity.Self.Incarnation, Domain: c.Settings.Domain,
			Address: c.Settings.Inner, Source: c.machine,
		},
		Endpoint: c.endpoint,
	}
	c.directory = &crdirectory.Server{Name: c.Settings.Name, Peers: c.peers(), Endpoint: c.endpoint}
	c.replica.Register(c.endpoint.Mux)
	c.root.Register(c.endpoint.Mux)
	c.directory.Register(c.endpoint.Mux)
	c.register()
	c.gauges()
	return nil
}

// incarnation returns a value that differs at each start.
func incarnation() string { return time.Now().UTC().Format("20060102T150405.000000000") }

// peers returns the inner addresses of the other control instances in the settings.
func (c *Control) peers() []string {
	var out []string
	for _, m := range c.Settings.Members {
		if m.Inner != c.Settings.Inner {
			out = append(out, m.Inner)
		}
	}
	return append(out, c.Settings.Join...)
}

// start runs every duty; a log that stops by itself is told on failed.
func (c *Control) start(ctx context.Context, failed chan<- error) {
	c.run(func() { c.ended("inner", c.endpoint.Serve(c.Inner)) })
	c.run(func() {
		if err := c.replica.Run(ctx); err != nil && ctx.Err() == nil {
			failed <- err
		}
	})
	c.run(func() { c.ended("tree", c.root.Run(ctx)) })
	c.run(func() { c.ended("directory", c.directory.Run(ctx)) })
	c.run(func() { c.confirm.Run(ctx) })
	c.run(func() { c.keeperLoop(ctx) })
	c.run(func() {
		cradmin.WatchSuspensions(ctx, &c.Counters, func(slept time.Duration) {
			_ = level.Info(c.Logger).Log("msg", "the machine was suspended", "took", slept)
		})
	})
	c.run(func() { c.ended("operator", cradmin.Serve(ctx, c.Operator, c.operatorHandler())) })
	c.run(func() {
		c.ended("admin", cradmin.Serve(ctx, c.Admin, (&cradmin.Admin{Dumper: c, Counters: &c.Counters}).Handler()))
	})
}

func (c *Control) run(f func()) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		f()
	}()
}

func (c *Control) ended(duty string, err error) {
	if !cradmin.Unexpected(err) {
		return
	}
	c.Counters.Add("duties_failed", 1)
	_ = level.Error(c.Logger).Log("msg", "duty failed", "duty", duty, "err", err)
}

// stop hands leadership over, then ends every duty.
func (c *Control) stop(cancel context.CancelFunc) {
	ctx, done := context.WithTimeout(context.Background(), c.Settings.StopTimeout)
	defer done()
	c.replica.Stop(ctx)
	cancel()
	_ = c.Inner.Close()
	c.endpoint.Close()
	c.wg.Wait()
}
