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

// demoSecret is the shared secret of a deployment that lives and ends in one process on loopback.
const demoSecret = "demo-secret-on-loopback"

// Deployment is a scenario that runs in this process: one control instance, and a node with a stand-in backend server
// for each server of the scenario.
type Deployment struct {
	Scenario Scenario
	Policy   crnode.Policy
	Logger   log.Logger
	Ledger   *Ledger

	Control *crcontrol.Control
	Nodes   []*crnode.Node
	Servers []*Server

	dir    string
	cancel context.CancelFunc
	wg     sync.WaitGroup
	mu     sync.Mutex
	failed error
}

// Start runs every process and waits until each kind that callers use can be answered at each of its nodes.
func (d *Deployment) Start(ctx context.Context) error {
	run, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	if d.Ledger == nil {
		d.Ledger = NewLedger()
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
	return d.ready(ctx)
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

// fails keeps the first error of a process of the deployment.
func (d *Deployment) fails(err error) {
	if err == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failed = errs.Combine(d.failed, err)
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
		d.fails(d.Control.Run(ctx))
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
		Service: spec.Name, Node: ln[0].Addr().String(), Slots: d.Scenario.slots(spec), Connections: spec.Connections / d.Scenario.Scale,
		Kinds: kinds, Ledger: d.Ledger, Instance: name + "-1",
	}
	if err := srv.Start(); err != nil {
		return err
	}
	d.Nodes = append(d.Nodes, n)
	d.Servers = append(d.Servers, srv)
	d.wg.Add(1)
	go func() {
		defer d.wg.Done()
		d.fails(n.Run(ctx))
	}()
	return nil
}

// Command sends one operator command and returns the answer's text.
func (d *Deployment) Command(ctx context.Context, line string) (string, error) {
	return (&croperator.Client{Address: d.Control.Settings.Operator, Secret: demoSecret}).Command(ctx, line)
}

// retryInterval is the pause between looks at a condition.
const retryInterval = 50 * time.Millisecond

// until calls f until it succeeds or ctx ends, and returns the last error.
func until(ctx context.Context, f func() error) error {
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
		lines = append(lines, k.command())
	}
	if err := until(ctx, func() error { _, err := d.Command(ctx, "show version"); return err }); err != nil {
		return err
	}
	for _, l := range lines {
		if _, err := d.Command(ctx, l); err != nil {
			return err
		}
	}
	return nil
}

// ready sends each callers' kind to each node of its service until it is answered.
func (d *Deployment) ready(ctx context.Context) error {
	c := d.callers(1)
	c.Start()
	defer c.Wait()
	for _, k := range d.Scenario.Kinds {
		if k.Share == 0 {
			continue
		}
		for _, e := range c.Entrances[k.Service] {
			err := until(ctx, func() error { return c.probe(ctx, k, e) })
			if err != nil {
				return fmt.Errorf("%s at %s is not answered: %w", k.ID(), e, err)
			}
		}
	}
	return nil
}

// callers returns outside callers for the deployment.
func (d *Deployment) callers(seed uint64) *Callers {
	c := &Callers{
		Scenario: d.Scenario, Entrances: map[string][]string{}, Prefix: map[string]string{}, Tally: &Tally{}, Seed: seed,
		Resends: 4, ResendAfter: 50 * time.Millisecond,
	}
	for _, n := range d.Nodes {
		addr := n.Callers.Addr().String()
		c.Entrances[n.Settings.Service] = append(c.Entrances[n.Settings.Service], addr)
		c.Prefix[addr] = n.Prefix()
	}
	return c
}

// Slow multiplies the service time of all servers of the scenario's slow service.
func (d *Deployment) Slow(factor int) {
	for _, s := range d.Servers {
		if s.Service == d.Scenario.SlowService {
			s.Slow(factor)
		}
	}
}

// Stop ends every process gracefully and removes the data folder; the error joins those of all processes.
func (d *Deployment) Stop(ctx context.Context) error {
	for _, s := range d.Servers {
		d.fails(s.Stop(ctx))
	}
	d.cancel()
	d.wg.Wait()
	d.fails(os.RemoveAll(d.dir))
	return d.failed
}
