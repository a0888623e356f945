package crcapacity

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime/pprof"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/zeebo/errs"

	"github.com/citronramp/citronramp/internal/crcontrol"
	"github.com/citronramp/citronramp/internal/crnode"
	"github.com/citronramp/citronramp/internal/croperator"
	"github.com/citronramp/citronramp/internal/crsettings"
)

const (
	// clusterSecret is the shared secret of a cluster, which exists only for one run on loopback addresses.
	clusterSecret = "capacity-secret-on-loopback"
	stopTimeout   = 5 * time.Second
	// startTimeout limits every wait for a condition of the cluster.
	startTimeout = 2 * time.Minute
	pollInterval = 5 * time.Millisecond
)

// cluster is a set of control instances and nodes, in this process or as separate processes.
type cluster struct {
	controls []*crcontrol.Control
	nodes    []*crnode.Node
	network  *network
	// controlBytes counts the bytes on connections that control instances accepted, nodeBytes those of each node.
	controlBytes atomic.Int64
	nodeBytes    []*atomic.Int64

	// processes runs each control instance and node as a separate process, with its own memory and garbage collector.
	processes bool
	pids      []int

	dir    string
	cancel context.CancelFunc
	ctx    context.Context
	wg     sync.WaitGroup
}

// newCluster starts control instances. If forward is set, traffic to them passes through a network that can inject faults.
func newCluster(controls int, forward bool) (*cluster, error) {
	c := &cluster{}
	if err := c.start(controls, forward); err != nil {
		return nil, errs.Combine(err, c.stop())
	}
	return c, nil
}

// start starts the control instances and waits until they answer.
func (c *cluster) start(controls int, forward bool) error {
	if err := c.prepare(controls, forward); err != nil {
		return err
	}
	return c.runControls()
}

// prepare opens the addresses of the control instances, so that nodes can be started before them.
func (c *cluster) prepare(controls int, forward bool) error {
	dir, err := os.MkdirTemp("", "citronramp-capacity-")
	if err != nil {
		return err
	}
	c.dir, c.network = dir, newNetwork()
	c.ctx, c.cancel = context.WithCancel(context.Background())
	var members []crsettings.Member
	for i := range controls {
		ln, err := c.listeners(3, &c.controlBytes)
		if err != nil {
			return err
		}
		name := fmt.Sprintf("control-%d", i+1)
		inner := ln[0].Addr().String()
		if forward {
			if inner, err = c.network.listen(name, inner); err != nil {
				return err
			}
		}
		if c.processes {
			closeListeners(ln)
		}
		members = append(members, crsettings.Member{Name: name, Inner: inner})
		c.controls = append(c.controls, &crcontrol.Control{
			Settings: crsettings.Control{
				Name: name, Domain: domain(i), Region: "r", DataDir: filepath.Join(dir, name), Secret: clusterSecret,
				StopTimeout: stopTimeout, Inner: inner, Operator: ln[1].Addr().String(), Admin: ln[2].Addr().String(),
			},
			Inner: ln[0], Operator: ln[1], Admin: ln[2], Logger: log.NewNopLogger(), NewCluster: true,
		})
	}
	for _, ctl := range c.controls {
		ctl.Settings.Members = members
	}
	return nil
}

func (c *cluster) runControls() error {
	for _, ctl := range c.controls {
		if !c.processes {
			c.run("control", ctl.Run)
		} else if err := c.process(ctl.Settings.Name, controlSettings(ctl.Settings), "control", "--new-cluster"); err != nil {
			return err
		}
	}
	return c.retryUntil(func() error { _, err := c.command("show version"); return err })
}

// run runs f in a goroutine. The label role identifies its share in a CPU profile.
func (c *cluster) run(role string, f func(context.Context) error) {
	c.wg.Go(func() {
		pprof.Do(c.ctx, pprof.Labels("role", role), func(ctx context.Context) { _ = f(ctx) })
	})
}

func domain(i int) string { return string(rune('a' + i%23)) }

// listeners opens n loopback ports. The bytes on connections of the first port are counted.
func (c *cluster) listeners(n int, bytes *atomic.Int64) ([]net.Listener, error) {
	var out []net.Listener
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		if i == 0 && bytes != nil {
			ln = countingListener{ln, bytes}
		}
		out = append(out, ln)
	}
	return out, nil
}

// addNode starts a node for a service.
func (c *cluster) addNode(service string) (*crnode.Node, error) {
	bytes := &atomic.Int64{}
	c.nodeBytes = append(c.nodeBytes, bytes)
	ln, err := c.listeners(1, bytes)
	if err != nil {
		return nil, err
	}
	more, err := c.listeners(2, nil)
	if err != nil {
		return nil, err
	}
	i := len(c.nodes)
	var control []string
	for k := range c.controls {
		control = append(control, c.controls[(i+k)%len(c.controls)].Settings.Inner)
	}
	n := &crnode.Node{
		Settings: crsettings.Node{
			Name: fmt.Sprintf("%s-%d", service, i+1), Domain: domain(i), Region: "r", Service: service,
			Listen: more[0].Addr().String(), Inner: ln[0].Addr().String(), Admin: more[1].Addr().String(),
			Control: control, Secret: clusterSecret, MaxBodyBytes: 1 << 20, MaxRequests: 2000,
			QueueLength: 400, QueueTime: 100 * time.Millisecond, StopTimeout: stopTimeout,
		},
		Callers: more[0], Inner: ln[0], Admin: more[1], Logger: log.NewNopLogger(),
	}
	c.nodes = append(c.nodes, n)
	if c.processes {
		closeListeners(append(ln, more...))
		return n, c.process(n.Settings.Name, nodeSettings(n.Settings), "node")
	}
	c.run("node", n.Run)
	return n, nil
}

// command sends an operator command to the first control instance.
func (c *cluster) command(line string) (string, error) { return c.commandAt(0, line) }

func (c *cluster) commandAt(i int, line string) (string, error) {
	return (&croperator.Client{Address: c.controls[i].Settings.Operator, Secret: clusterSecret}).Command(c.ctx, line)
}

// change sends a configuration change to control instance i and returns the version of the change.
func (c *cluster) change(i int, line string) (string, error) {
	text, err := c.commandAt(i, line)
	if err != nil {
		return "", err
	}
	_, rest, ok := strings.Cut(text, "has version ")
	if !ok {
		return "", fmt.Errorf("%s: no version in %q", line, text)
	}
	version, _, _ := strings.Cut(rest, ".\n")
	return version, nil
}

// retryUntil calls f until it succeeds, at most for startTimeout.
func (c *cluster) retryUntil(f func() error) error {
	end := time.Now().Add(startTimeout)
	for {
		err := f()
		if err == nil {
			return nil
		}
		if time.Now().After(end) {
			return err
		}
		time.Sleep(pollInterval)
	}
}

// createServices creates n services, each with one repeatable and one non-repeatable kind.
func (c *cluster) createServices(n int) error {
	for i := range n {
		for _, line := range []string{
			"create service s%d", "create kind s%d/read worth 1 repeat yes deadline 2s", "create kind s%d/once worth 1 repeat no deadline 2s",
		} {
			if _, err := c.command(fmt.Sprintf(line, i)); err != nil {
				return err
			}
		}
	}
	return nil
}

// waitInForceOnAll makes a configuration change and waits until it is in force on all nodes.
func (c *cluster) waitInForceOnAll() error {
	return c.retryUntil(func() error {
		version, err := c.change(0, "set kind s0/read worth 2")
		if err != nil {
			return err
		}
		return c.inForce(version)
	})
}

// inForce waits until the version is in force on all nodes.
func (c *cluster) inForce(version string) error {
	text, err := c.command("wait " + version)
	if err != nil {
		return err
	}
	if want := fmt.Sprintf("on all %d nodes", len(c.nodes)); !strings.Contains(text, want) {
		return fmt.Errorf("wait: %q lacks %q", text, want)
	}
	return nil
}

// stop stops all processes and removes the data folders.
func (c *cluster) stop() error {
	if c.cancel == nil {
		return nil
	}
	c.cancel()
	c.wg.Wait()
	c.network.close()
	http.DefaultClient.CloseIdleConnections()
	return os.RemoveAll(c.dir)
}
