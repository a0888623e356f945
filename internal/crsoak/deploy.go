package crsoak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/citronramp/citronramp/internal/crpause"
	"github.com/citronramp/citronramp/platform"
)

// Ports, the same on all simulated machines, and the numbers of the first machines of each role. A machine is a loopback
// address; its number is the last byte of the address.
const (
	inboundPort   = "8300"
	serverPort    = "8301"
	readyPort     = "8302"
	entrancePort  = "8304"
	controlPort   = "8306"
	listenPort    = "8399"
	firstOwnPort  = 7620
	innerPort     = "7620"
	metricsPort   = "7621"
	firstCore     = 1
	firstSidecar  = 11
	firstEntrance = 101
	firstSeed     = 201
)

func (r *run) ip(number int) string { return fmt.Sprintf("%s.%d", r.Network, number) }

func (r *run) address(number int, port string) string { return net.JoinHostPort(r.ip(number), port) }

// settings returns the settings of a machine as the platform writes them; seeds is the number of the first machine whose
// address is given as a seed.
func (r *run) settings(name string, number, seeds int) platform.Settings {
	s := platform.Settings{
		NodeName: name, Zone: fmt.Sprintf("zone-%d", number%3), Region: "soak", IP: r.ip(number), PortRange: []int{firstOwnPort, firstOwnPort + 15},
		DataDir: filepath.Join(r.Dir, name), Heartbeat: heartbeatInterval.String(),
		Bounds: []string{"grace=" + graceTime.String(), fmt.Sprintf("retry-budget-ratio=%g", budgetRatio)},
	}
	for i := range coordinators {
		s.Seeds = append(s.Seeds, r.address(seeds+i, controlPort))
	}
	s.Listen.Control = r.address(number, controlPort)
	s.Limits.MemoryMB, s.Limits.MaxFDs = memoryLimitMB, descriptorLimit
	s.Tolerance.Machines = 1
	return s
}

// deploy starts all processes and simulated servers, and waits until the first configuration is accepted and all nodes are
// ready.
func (r *run) deploy(ctx context.Context) error {
	r.operator = &operator{promises: r.promises, rng: rand.New(rand.NewPCG(r.Seed, 2))}
	for i := range coordinators {
		seed, err := newProxy(r.address(firstSeed+i, innerPort), r.address(firstCore+i, innerPort))
		if err != nil {
			return err
		}
		r.seedProxies = append(r.seedProxies, seed)
		p := &process{program: r.Program, role: "core", dir: r.Dir, settings: r.settings(fmt.Sprintf("core-%d", i), firstCore+i, firstCore)}
		r.cores = append(r.cores, p)
		r.operator.cores = append(r.operator.cores, p.settings.Listen.Control)
		if err := p.start(); err != nil {
			return err
		}
	}
	for i := range sidecars {
		if err := r.deploySidecar(i); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if !r.operator.put(ctx, 1) {
		return errors.New("the first configuration was not accepted")
	}
	for i := range r.nodes {
		if err := r.awaitReady(ctx, i); err != nil {
			return fmt.Errorf("node %d is not ready: %w", i, err)
		}
	}
	return nil
}

func (r *run) deploySidecar(i int) error {
	number, service := firstSidecar+i, frontService
	if i >= servers {
		service = ledgerService
	}
	s := r.settings(fmt.Sprintf("node-%d", i), number, firstSeed)
	s.Service, s.AppAddress = service, r.address(number, serverPort)
	s.Listen.Inbound, s.Listen.Outbound, s.Listen.Ready = r.address(number, inboundPort), r.address(number, entrancePort), r.address(number, readyPort)
	p := &process{program: r.Program, role: "sidecar", dir: r.Dir, settings: s}
	r.nodes = append(r.nodes, p)
	r.operator.nodes = append(r.operator.nodes, r.address(number, metricsPort))
	entrance, err := newProxy(r.address(firstEntrance+i, entrancePort), s.Listen.Outbound)
	if err != nil {
		return err
	}
	r.entrances = append(r.entrances, entrance)
	gate, err := newProxy(s.AppAddress, r.address(number, listenPort))
	if err != nil {
		return err
	}
	r.serverProxies = append(r.serverProxies, gate)
	b := &backend{
		service: service, zone: s.Zone, listen: r.address(number, listenPort), announced: s.AppAddress, control: s.Listen.Control,
		entrance: s.Listen.Outbound, proxy: gate, promises: r.promises,
	}
	r.backends = append(r.backends, b)
	return errors.Join(p.start(), b.start())
}

// awaitReady waits until a node answers its readiness probe with 200.
func (r *run) awaitReady(ctx context.Context, i int) error {
	for {
		status, _, err := callPlatform(ctx, http.MethodGet, r.nodes[i].settings.Listen.Ready, platform.ReadyPath(), nil)
		if err == nil && status == http.StatusOK {
			return nil
		}
		if err := crpause.For(ctx, 50*time.Millisecond); err != nil {
			return err
		}
	}
}

// stop ends all processes, servers and proxies of the run.
func (r *run) stop() {
	for _, p := range append(r.nodes, r.cores...) {
		p.kill()
	}
	for _, b := range r.backends {
		b.shutDown()
	}
	for _, list := range [][]*proxy{r.entrances, r.serverProxies, r.seedProxies} {
		for _, p := range list {
			p.close()
		}
	}
}

// playAction injects a fault and ends it after its duration.
func (r *run) playAction(ctx context.Context, a Action) {
	if f := faultOf(a.Kind); !f.core && !f.planned {
		r.promises.faultBegins(a.Target)
		defer func() { r.promises.faultEnds(time.Now(), a.Target) }()
	}
	if err := r.inject(ctx, a); err != nil && ctx.Err() == nil {
		r.promises.report("soak", "", fmt.Sprintf("%s: %v", a, err))
	}
}

func (r *run) inject(ctx context.Context, a Action) error {
	switch a.Kind {
	case BreakEntry:
		return breakLink(ctx, r.entrances[a.Target], a)
	case BreakServer:
		return breakLink(ctx, r.serverProxies[a.Target], a)
	case BreakSeed:
		return breakLink(ctx, r.seedProxies[a.Target], a)
	case CrashServer, DrainServer:
		return r.replaceServer(ctx, a)
	case KillNode, StopNode, FreezeNode, ReloadNode:
		return r.disruptProcess(ctx, r.nodes[a.Target], a)
	}
	return r.disruptProcess(ctx, r.cores[a.Target], a)
}

func breakLink(ctx context.Context, p *proxy, a Action) error {
	p.set(a.Link)
	defer p.set(modePass)
	return crpause.For(ctx, a.For)
}

func (r *run) replaceServer(ctx context.Context, a Action) error {
	b := r.backends[a.Target]
	if a.Kind == DrainServer {
		if err := b.drain(ctx, a.For); err != nil {
			return err
		}
	} else {
		b.crash()
		if err := crpause.For(ctx, a.For); err != nil {
			return err
		}
	}
	return b.start()
}

// disruptProcess applies the fault to a process and makes it run again afterwards.
func (r *run) disruptProcess(ctx context.Context, p *process, a Action) error {
	switch a.Kind {
	case ReloadNode:
		return p.signal(syscall.SIGHUP)
	case FreezeNode, FreezeCore:
		if err := p.signal(syscall.SIGSTOP); err != nil {
			return err
		}
		err := crpause.For(ctx, a.For)
		return errors.Join(err, p.signal(syscall.SIGCONT))
	case StopNode, StopCore:
		inTime, err := p.stop()
		if err != nil {
			return err
		}
		if !inTime {
			r.promises.report("grace time", "", p.settings.NodeName+" was still there and was killed")
		}
	default:
		p.kill()
	}
	if a.Kind == WipeCore {
		if err := os.RemoveAll(p.settings.DataDir); err != nil {
			return err
		}
	}
	if err := crpause.For(ctx, a.For); err != nil {
		return err
	}
	return p.start()
}
