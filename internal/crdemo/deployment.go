package crdemo

import (
	"context"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/zeebo/errs"

	"github.com/citronramp/citronramp/internal/crcontrol"
	"github.com/citronramp/citronramp/internal/crnode"
	"github.com/citronramp/citronramp/internal/croperator"
	"github.com/citronramp/citronramp/internal/crpause"
	"github.com/citronramp/citronramp/internal/crsettings"
)

// demoSecret is the shared secret of the deployment, which is reachable only on loopback.
const demoSecret = "demo-secret-on-loopback"

// Deployment runs a scenario in this process: one control instance, and a node with a simulated backend server for each
// server of the scenario.
type Deployment struct {
	Scenario Scenario
	Policy   crnode.Policy
	Logger   log.Logger
	Runs     *RunCounter

	Control *crcontrol.Control
	Nodes   []*crnode.Node
	Servers []*Server

	dir    string
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	err    error
}

// Start starts the control instance, the nodes and the servers, and waits until each request kind that callers use is
// answered at each node of its service.
func (d *Deployment) Start(ctx context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	if d.Runs == nil {
		d.Runs = NewRunCounter()
	}
	if err := d.startControl(run); err != nil {
		return err
	}
	for _, spec := range d.Scenario.Services {
		for i := range spec.Servers {
			if err := d.startServer(run, spec, i); err != nil {
				return err
			}
		}
	}
	if err := d.configure(ctx); err != nil {
		return err
	}
	return d.awaitReady(ctx)
}

// listen opens a loopback port that the kernel assigns.
func listen() (net.Listener, error) { return net.Listen("tcp", "127.0.0.1:0") }

func listeners(n int) ([]net.Listener, error) {
	var out []net.Listener
	for range n {
		ln, err := listen()
		if err != nil {
			return nil, err
		}
		out = append(out, ln)
	}
	return out, nil
}

// recordError records an error of a part of the deployment.
func (d *Deployment) recordError(err error) {
	if err == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.err = errs.Combine(d.err, err)
}

func (d *Deployment) startControl(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "citronramp-demo-")
	if err != nil {
		return err
	}
	d.dir = dir
	ln, err := listeners(3)
	if err != nil {
		return err
	}
	d.Control = &crcontrol.Control{
		Settings: crsettings.Control{
			Name: "control-1", Domain: "a", Region: d.Scenario.Region, DataDir: dir, Secret: demoSecret, StopTimeout: 5 * time.Second,
			Inner: ln[0].Addr().String(), Operator: ln[1].Addr().String(), Admin: ln[2].Addr().String(),
		},
		Inner: ln[0], Operator: ln[1], Admin: ln[2], Logger: d.Logger, NewCluster: true,
	}
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		d.recordError(d.Control.Run(ctx))
	}()
	return nil
}

func (d *Deployment) startServer(ctx context.Context, spec ServiceSpec, i int) error {
	ln, err := listeners(3)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%d", spec.Name, i+1)
	n := &crnode.Node{
		Settings: crsettings.Node{
			Name: name, Domain: string(rune('a' + i%d.Scenario.Domains)), Region: d.Scenario.Region, Service: spec.Name,
			Listen: ln[0].Addr().String(), Inner: ln[1].Addr().String(), Admin: ln[2].Addr().String(),
			Control: []string{d.Control.Settings.Inner}, Secret: demoSecret, MaxBodyBytes: 1 << 20, MaxRequests: 2000,
			QueueLength: 400, QueueTime: 100 * time.Millisecond, StopTimeout: 5 * time.Second,
		},
		Callers: ln[0], Inner: ln[1], Admin: ln[2], Logger: d.Logger, Policy: d.Policy,
	}
	kinds := map[string]Work{}
	for _, k := range d.Scenario.Kinds {
		if k.Service == spec.Name {
			kinds[k.Name] = k.Work
		}
	}
	srv := &Server{
		Service: spec.Name, Node: ln[0].Addr().String(), Slots: d.Scenario.scaledSlots(spec), Connections: spec.Connections / d.Scenario.Scale,
		Kinds: kinds, Runs: d.Runs, Instance: name + "-1",
	}
	if err := srv.Start(); err != nil {
		return err
	}
	d.Nodes = append(d.Nodes, n)
	d.Servers = append(d.Servers, srv)
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		d.recordError(n.Run(ctx))
	}()
	return nil
}

// Command sends an operator command and returns its output.
func (d *Deployment) Command(ctx context.Context, line string) (string, error) {
	return (&croperator.Client{Address: d.Control.Settings.Operator, Secret: demoSecret}).Command(ctx, line)
}

// retryInterval is the pause between two checks of a condition.
const retryInterval = 50 * time.Millisecond

// retryUntil calls f repeatedly until it succeeds or ctx ends; at the end of ctx it returns the last error of f.
func retryUntil(ctx context.Context, f func() error) error {
	for {
		err := f()
		if err == nil {
			return nil
		}
		if crpause.For(ctx, retryInterval) != nil {
			return errs.Combine(ctx.Err(), err)
		}
	}
}

func (d *Deployment) configure(ctx context.Context) error {
	var lines []string
	for _, s := range d.Scenario.Services {
		lines = append(lines, "create service "+s.Name)
	}
	for _, k := range d.Scenario.Kinds {
		lines = append(lines, k.createCommand())
	}
	if err := retryUntil(ctx, func() error { _, err := d.Command(ctx, "show version"); return err }); err != nil {
		return err
	}
	for _, l := range lines {
		if _, err := d.Command(ctx, l); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady sends a request of each kind that callers use to each node of its service until it is answered.
func (d *Deployment) awaitReady(ctx context.Context) error {
	c := d.newCallers(1)
	c.Start()
	defer c.Wait()
	for _, k := range d.Scenario.Kinds {
		if k.Share == 0 {
			continue
		}
		for _, e := range c.Entrances[k.Service] {
			err := retryUntil(ctx, func() error { return c.probe(ctx, k, e) })
			if err != nil {
				return fmt.Errorf("%s at %s is not answered: %w", k.ID(), e, err)
			}
		}
	}
	return nil
}

// newCallers returns external callers with the addresses of the deployment's nodes.
func (d *Deployment) newCallers(seed uint64) *Callers {
	c := &Callers{
		Scenario: d.Scenario, Entrances: map[string][]string{}, IDPrefix: map[string]string{}, Tally: &Tally{}, Seed: seed,
		MaxResends: 4, ResendPause: 50 * time.Millisecond,
	}
	for _, n := range d.Nodes {
		addr := n.Callers.Addr().String()
		c.Entrances[n.Settings.Service] = append(c.Entrances[n.Settings.Service], addr)
		c.IDPrefix[addr] = n.Prefix()
	}
	return c
}

// SetSlowdown multiplies the service time of all servers of the scenario's slow service by factor.
func (d *Deployment) SetSlowdown(factor int) {
	for _, s := range d.Servers {
		if s.Service == d.Scenario.SlowService {
			s.SetSlowdown(factor)
		}
	}
}

// Stop stops all parts gracefully and removes the data folder; the error joins the errors of all parts.
func (d *Deployment) Stop(ctx context.Context) error {
	for _, s := range d.Servers {
		d.recordError(s.Stop(ctx))
	}
	d.cancel()
	d.wg.Wait()
	d.recordError(os.RemoveAll(d.dir))
	return d.err
}
