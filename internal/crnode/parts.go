package crnode

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronramp/citronramp/internal/cradmin"
	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crkeeper"
	"github.com/citronramp/citronramp/internal/crspread"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crrecord"
)

// components are the running background tasks of a node.
type components struct {
	node   *Node
	http   *http.Server
	keeper *crkeeper.Keeper
	client *crkeeper.Client
	// cancel ends the tasks that use the inner network. cancelAdmin ends the admin server after them.
	cancel      context.CancelFunc
	cancelAdmin context.CancelFunc
	wg          sync.WaitGroup
}

// start creates the components and starts all background tasks.
func (n *Node) start() (*components, error) {
	ctx, cancel := context.WithCancel(context.Background())
	adminCtx, cancelAdmin := context.WithCancel(context.Background())
	p := &components{node: n, cancel: cancel, cancelAdmin: cancelAdmin, http: n.httpServer()}
	n.endpoint = &crwire.Endpoint{
		Identity: crwire.Identity{
			Self:   crwire.Peer{Name: n.Settings.Name, Incarnation: n.Incarnation, Role: crwire.RoleNode},
			Secret: []byte(n.Settings.Secret),
		},
		Mux:       &crwire.Mux{},
		OnRefused: func(net.Addr, error) { n.Counters.Add("inner_refused", 1) },
		OnAcceptError: func(err error) {
			n.Counters.Add("inner_accept_failed", 1)
			_ = level.Error(n.Logger).Log("msg", "cannot accept connections of other processes for a while", "err", err)
		},
	}
	n.limitClients()
	callers, admin := n.clientListeners()
	p.makeKeeper()
	p.makeSpread()
	n.directory = n.newDirectory()
	n.register()
	n.servicesMu.Lock()
	n.updateWatchesLocked()
	n.servicesMu.Unlock()
	n.announceToDirectory(Announcement{State: StateStarting})
	p.run(adminCtx, func(ctx context.Context) {
		p.logFailure("admin", cradmin.Serve(ctx, admin, (&cradmin.Admin{Dumper: p, Counters: &n.Counters}).Handler()))
	})
	p.run(ctx, func(context.Context) { p.logFailure("inner", n.endpoint.Serve(n.Inner)) })
	p.run(ctx, func(ctx context.Context) { p.logFailure("spread", p.node.spread.Run(ctx)) })
	p.run(ctx, p.keeper.Run)
	p.run(ctx, p.client.Run)
	p.run(ctx, n.tickLoop)
	p.run(ctx, func(ctx context.Context) { p.logFailure("directory", n.directory.Run(ctx)) })
	p.run(ctx, n.quarantineLoop)
	p.run(ctx, n.convictLoop)
	p.run(ctx, p.confirmLoop)
	p.run(ctx, func(ctx context.Context) {
		cradmin.WatchSuspensions(ctx, &n.Counters, func(slept time.Duration) {
			_ = level.Info(n.Logger).Log("msg", "the machine was suspended", "took", slept)
		})
	})
	callers.Attach(p.http)
	p.run(ctx, func(context.Context) { p.logFailure("callers", p.http.Serve(callers)) })
	return p, nil
}

// run starts a background task that ends with ctx.
func (p *components) run(ctx context.Context, f func(context.Context)) {
	p.wg.Add(1)
	go func() {
		defer p.wg.Done()
		f(ctx)
	}()
}

// logFailure logs a background task that ended unexpectedly.
func (p *components) logFailure(duty string, err error) {
	if !cradmin.IsUnexpectedError(err) {
		return
	}
	p.node.Counters.Add("duties_failed", 1)
	_ = level.Error(p.node.Logger).Log("msg", "background task failed", "duty", duty, "err", err)
}

func (p *components) makeKeeper() {
	n := p.node
	self := crrecord.Member{Node: n.Settings.Name, Incarnation: n.Incarnation, Address: n.Settings.Inner, Domain: n.Settings.Domain}
	p.keeper = &crkeeper.Keeper{
		Core: &crrecord.Keeper{Self: self, ConfirmWithin: confirmWithin}, Endpoint: n.endpoint, Now: n.clock,
	}
	answers := &crkeeper.AnswerStore{Self: self, Now: n.clock}
	p.client = &crkeeper.Client{Self: self, Groups: groups{n.view}, Endpoint: n.endpoint, Local: p.keeper, Answers: answers}
	n.claims = p.client
	answers.Register(n.endpoint.Mux)
	p.keeper.Register(n.endpoint.Mux)
}

// confirmWithin is the maximum age of the confirmation of a keeper's configuration with which the keeper grants claims.
// It is shorter than the 10 s after which a lost majority is fenced.
const confirmWithin = 5 * time.Second

// groups provides the keeper groups of the configuration in force.
type groups struct{ view *crconfig.View }

// Group returns the membership of a keeper group.
func (g groups) Group(number uint32) (crrecord.Group, bool) {
	w := g.view.Group(number)
	if w == nil {
		return crrecord.Group{}, false
	}
	return crkeeper.GroupFromWire(w), true
}

func (p *components) makeSpread() {
	n := p.node
	n.spread = &crspread.Node{
		Config: crspread.Config{
			Name: n.Settings.Name, Incarnation: n.Incarnation, Domain: n.Settings.Domain, Address: n.Settings.Inner,
			Controls: n.Settings.Control, Services: []string{n.Settings.Service}, Seed: uint64(n.clock().UnixMS),
		},
		Endpoint: n.endpoint,
		OnUpdate: p.applyUpdate,
	}
	n.spread.Register(n.endpoint.Mux)
}

func (n *Node) register() {
	mux := n.endpoint.Mux
	crwire.Handle(mux, methodCall, n.handleCall)
	crwire.Handle(mux, methodTake, n.handleTake)
	crwire.Handle(mux, methodArrive, n.handleArrive)
	crwire.Handle(mux, MethodShedding, n.handleShedding)
}

// applyUpdate applies a configuration update to the view and configures the keeper's groups. An error reports to the
// configuration tree that the view stays at its older version.
func (p *components) applyUpdate(u crspread.Update) error {
	n := p.node
	var err error
	switch {
	case u.Full:
		err = n.view.Reset(u.Version, u.Entries)
	case len(u.Replaced) > 0:
		err = n.view.Reset(u.Version, mergeReplaced(n.view.Entries(), u))
	default:
		err = n.view.ApplyEntries(u.Version, u.Entries)
	}
	if err != nil {
		n.Counters.Add("config_refused", 1)
		_ = level.Error(n.Logger).Log("msg", "configuration refused", "version", u.Version, "err", err)
		return err
	}
	n.Counters.Add("config_updates", 1)
	p.entriesChanged(u.Entries)
	before := n.isCovered(n.Settings.Service)
	n.setCovered(u.Services)
	if last, serving := n.lease.current(time.Now()); serving && !before {
		n.announceToDirectory(last)
	}
	return nil
}

// mergeReplaced returns the entries of the view after an update that replaces the entries of some services. Such an
// update may also change entries of other services, which must not appear twice.
func mergeReplaced(held []*crwire.ConfigEntry, u crspread.Update) []*crwire.ConfigEntry {
	offered := make(map[string]bool, len(u.Entries))
	for _, e := range u.Entries {
		offered[e.GetKey()] = true
	}
	kept := slices.DeleteFunc(slices.Clone(held), func(e *crwire.ConfigEntry) bool {
		return offered[e.GetKey()] || slices.Contains(u.Replaced, e.GetService())
	})
	return append(kept, u.Entries...)
}

// entriesChanged configures the keeper's groups and reports lifted convictions to the quarantine.
func (p *components) entriesChanged(entries []*crwire.ConfigEntry) {
	n := p.node
	var changed []crrecord.Group
	for _, e := range entries {
		category, rest, _ := strings.Cut(e.GetKey(), "/")
		switch category {
		case "group":
			number, err := strconv.ParseUint(rest, 10, 32)
			if g, ok := (groups{n.view}).Group(uint32(number)); err == nil && ok {
				changed = append(changed, g)
			}
		case "conviction":
			if e.GetDeleted() {
				n.liftConviction(rest)
			}
		}
	}
	if len(changed) > 0 {
		p.keeper.UpdateGroups(changed)
	}
}

// confirmInterval is the interval at which the keeper gets the age of the configuration's confirmation.
const confirmInterval = 500 * time.Millisecond

// confirmLoop forwards the configuration tree's confirmations to the keeper.
func (p *components) confirmLoop(ctx context.Context) {
	t := time.NewTicker(confirmInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if s := p.node.spread.Status(); s.EverConfirmed && s.ConfirmedAge < confirmWithin {
			at := p.node.clock()
			at.Elapsed -= s.ConfirmedAge
			p.keeper.RecordConfirmation(at)
		}
	}
}

// announceLeaving announces to the directory that this node leaves.
func (p *components) announceLeaving(context.Context) {
	last, _ := p.node.lease.current(time.Now())
	last.State = StateLeaving
	p.node.announceToDirectory(last)
}

// stop ends the background tasks after the last request.
func (p *components) stop() {
	n := p.node
	grace, cancel := context.WithTimeout(context.Background(), n.Settings.StopTimeout)
	defer cancel()
	_ = p.http.Shutdown(grace)
	p.awaitDelivery(grace)
	p.cancel()
	_ = n.Inner.Close()
	n.endpoint.Close()
	n.backend.close()
	p.cancelAdmin()
	p.wg.Wait()
}

// awaitDelivery waits until the completions and releases of this gate have reached the keepers.
func (p *components) awaitDelivery(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for p.client.Pending() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}
