// Package crtest runs complete nodes and control instances in one process, connected over loopback, for tests that inject
// faults into them.
package crtest

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"

	"github.com/citronramp/citronramp/internal/crcontrol"
	"github.com/citronramp/citronramp/internal/crnode"
	"github.com/citronramp/citronramp/internal/croperator"
	"github.com/citronramp/citronramp/internal/crsettings"
)

// Secret is the shared secret of every test deployment.
const Secret = "test-secret-on-loopback"

// Deadline bounds every wait for a condition; a test fails if the condition is not met in this time.
const Deadline = 30 * time.Second

// Service is one service of a deployment. Kinds maps the names of its request kinds to the options of the operator command
// "create kind".
type Service struct {
	Name    string
	Servers int
	Slots   int
	Kinds   map[string]string
}

// Options describe a deployment.
type Options struct {
	// Controls is the number of voting control instances; 0 means 1.
	Controls int
	Services []Service
	// Handler handles the requests at every backend server; nil answers at once.
	Handler func(*Run)
	// EditNodeSettings, if set, changes the settings of each node before it starts.
	EditNodeSettings func(*crsettings.Node)
	// BeforeStart, if set, is called with each node before it starts.
	BeforeStart func(*crnode.Node)
}

// Cluster is a running deployment.
type Cluster struct {
	C        *qt.C
	Options  Options
	Controls []*Control
	Nodes    []*Node
	Runs     *RunCounter
	Client   *http.Client
}

// process holds the parts that control instances and nodes share.
type process struct {
	Name string
	// Forwarder forwards connections to the inner port, the port for other processes; these know only the address of Forwarder.
	Forwarder *Forwarder
	cancel    context.CancelFunc
	done      chan struct{}
	err       error
}

// Stop ends the process gracefully and returns its error.
func (p *process) Stop() error {
	p.cancel()
	<-p.done
	return p.err
}

// Control is one running control instance.
type Control struct {
	process
	*crcontrol.Control
}

// Node is one running node with its local backend server.
type Node struct {
	process
	*crnode.Node
	Server         *Server
	callerListener *trackingListener
	spec           Service
	cluster        *Cluster
}

// Start runs a deployment until the test ends. It returns when every node knows the servers of all services and the
// keepers of all groups are active.
func Start(t testing.TB, o Options) *Cluster {
	k := &Cluster{C: qt.New(t), Options: o, Runs: NewRunCounter(), Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	t.Cleanup(k.stop)
	n := max(o.Controls, 1)
	var members []crsettings.Member
	var fronts []*Forwarder
	for i := range n {
		f := NewForwarder(k.C)
		fronts = append(fronts, f)
		members = append(members, crsettings.Member{Name: fmt.Sprintf("control-%d", i+1), Inner: f.Address()})
	}
	for i := range n {
		k.startControl(members, i, fronts[i], t.TempDir())
	}
	for _, s := range o.Services {
		for i := range s.Servers {
			k.StartNode(s, fmt.Sprintf("%s-%d", s.Name, i+1), i)
		}
	}
	k.configure()
	return k
}

func (k *Cluster) listen() net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	k.C.Assert(err, qt.IsNil)
	return ln
}

func (k *Cluster) startControl(members []crsettings.Member, i int, front *Forwarder, dir string) {
	inner, operator, admin := k.listen(), k.listen(), k.listen()
	front.SetTarget(inner.Addr().String())
	c := &Control{process: process{Name: members[i].Name, Forwarder: front}, Control: &crcontrol.Control{
		Settings: crsettings.Control{
			Name: members[i].Name, Domain: "a", Region: "r", DataDir: dir, Secret: Secret, StopTimeout: 5 * time.Second, Members: members,
			Inner: front.Address(), Operator: operator.Addr().String(), Admin: admin.Addr().String(),
		},
		Inner: inner, Operator: operator, Admin: admin, Logger: log.NewNopLogger(), NewCluster: true,
	}}
	c.run(c.Control.Run)
	k.Controls = append(k.Controls, c)
}

func (p *process) run(f func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel, p.done = cancel, make(chan struct{})
	go func() {
		defer close(p.done)
		p.err = f(ctx)
	}()
}

// StartNode adds a node of a service together with its local backend server.
func (k *Cluster) StartNode(s Service, name string, domain int) *Node {
	front := NewForwarder(k.C)
	callers, inner, admin := &trackingListener{Listener: k.listen()}, k.listen(), k.listen()
	front.SetTarget(inner.Addr().String())
	settings := crsettings.Node{
		Name: name, Domain: string(rune('a' + domain%3)), Region: "r", Service: s.Name,
		Listen: callers.Addr().String(), Inner: front.Address(), Admin: admin.Addr().String(),
		Secret: Secret, MaxBodyBytes: 1 << 20, MaxRequests: 200, QueueLength: 100, QueueTime: 100 * time.Millisecond, StopTimeout: 5 * time.Second,
	}
	for i := range k.Controls {
		settings.Control = append(settings.Control, k.Controls[(i+domain)%len(k.Controls)].Forwarder.Address())
	}
	if k.Options.EditNodeSettings != nil {
		k.Options.EditNodeSettings(&settings)
	}
	n := &Node{process: process{Name: name, Forwarder: front}, callerListener: callers, spec: s, cluster: k, Node: &crnode.Node{
		Settings: settings, Callers: callers, Inner: inner, Admin: admin, Logger: log.NewNopLogger(),
	}}
	if k.Options.BeforeStart != nil {
		k.Options.BeforeStart(n.Node)
	}
	n.run(n.Node.Run)
	n.StartServer()
	k.Nodes = append(k.Nodes, n)
	return n
}

// StartServer starts a new local backend server of the node; the previous one must have ended.
func (n *Node) StartServer() *Server {
	handle := n.cluster.Options.Handler
	if handle == nil {
		handle = (*Run).Answer
	}
	n.Server = startServer(n.cluster, n.spec, n.Settings.Listen, n.Name, handle)
	return n.Server
}

// Kill simulates a crash of the node: its ports and all its connections are closed at once.
func (n *Node) Kill() {
	n.callerListener.closeAll()
	n.Forwarder.CloseAll()
	n.cluster.forEachForwarder(func(f *Forwarder) { f.CloseFrom(n.Name) })
	n.cancel()
}

// Partition drops all traffic between the named processes and all others; the connections stay open.
func (k *Cluster) Partition(names ...string) {
	fronts := k.forwardersByName()
	for owner, f := range fronts {
		for name := range fronts {
			if slices.Contains(names, owner) != slices.Contains(names, name) {
				f.StallFrom(name, true)
			}
		}
	}
}

// Heal ends every partition.
func (k *Cluster) Heal() { k.forEachForwarder((*Forwarder).Resume) }

func (k *Cluster) forwardersByName() map[string]*Forwarder {
	out := map[string]*Forwarder{}
	for _, c := range k.Controls {
		out[c.Name] = c.Forwarder
	}
	for _, n := range k.Nodes {
		out[n.Name] = n.Forwarder
	}
	return out
}

// Kill simulates a crash of the control instance: its ports and all its connections are closed at once.
func (k *Cluster) Kill(c *Control) {
	c.Forwarder.CloseAll()
	k.forEachForwarder(func(f *Forwarder) { f.CloseFrom(c.Name) })
	c.cancel()
}

// Join starts a control instance with an empty data folder; it waits until an operator adds it to the members.
func (k *Cluster) Join(name, dir string) *Control {
	front := NewForwarder(k.C)
	inner, operator, admin := k.listen(), k.listen(), k.listen()
	front.SetTarget(inner.Addr().String())
	var join []string
	for _, c := range k.Controls {
		join = append(join, c.Forwarder.Address())
	}
	c := &Control{process: process{Name: name, Forwarder: front}, Control: &crcontrol.Control{
		Settings: crsettings.Control{
			Name: name, Domain: "a", Region: "r", DataDir: dir, Secret: Secret, StopTimeout: 5 * time.Second, Join: join,
			Inner: front.Address(), Operator: operator.Addr().String(), Admin: admin.Addr().String(),
		},
		Inner: inner, Operator: operator, Admin: admin, Logger: log.NewNopLogger(),
	}}
	c.run(c.Control.Run)
	k.Controls = append(k.Controls, c)
	return c
}

// Restart stops a control instance and starts it again with the same data folder.
func (k *Cluster) Restart(c *Control) {
	k.C.Check(c.Stop(), qt.IsNil)
	inner, operator, admin := k.listen(), k.listen(), k.listen()
	c.Forwarder.SetTarget(inner.Addr().String())
	settings := c.Settings
	settings.Operator, settings.Admin = operator.Addr().String(), admin.Addr().String()
	c.Control = &crcontrol.Control{Settings: settings, Inner: inner, Operator: operator, Admin: admin, Logger: log.NewNopLogger()}
	c.run(c.Control.Run)
}

func (k *Cluster) forEachForwarder(f func(*Forwarder)) {
	for _, c := range k.Controls {
		f(c.Forwarder)
	}
	for _, n := range k.Nodes {
		f(n.Forwarder)
	}
}

func (k *Cluster) stop() {
	// A forwarder that still drops traffic would delay the stop of each process that waits for an answer.
	k.forEachForwarder((*Forwarder).Resume)
	for _, n := range k.Nodes {
		n.Server.Kill()
		n.cancel()
	}
	for _, c := range k.Controls {
		c.cancel()
	}
	for _, n := range k.Nodes {
		<-n.done
	}
	for _, c := range k.Controls {
		<-c.done
	}
	k.forEachForwarder((*Forwarder).Close)
	k.Client.CloseIdleConnections()
	http.DefaultClient.CloseIdleConnections()
}

// Eventually calls f repeatedly until it returns nil; the test fails after Deadline.
func (k *Cluster) Eventually(f func() error) {
	k.C.Helper()
	end := time.Now().Add(Deadline)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			k.C.Fatalf("condition not met within %s: %v", Deadline, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Command sends an operator command to a control instance and returns its output.
func (k *Cluster) Command(c *Control, line string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return (&croperator.Client{Address: c.Settings.Operator, Secret: Secret, HTTPClient: k.Client}).Command(ctx, line)
}

func (k *Cluster) configure() {
	k.Eventually(func() error { _, err := k.Command(k.Controls[0], "create service first"); return err })
	for _, s := range k.Options.Services {
		_, err := k.Command(k.Controls[0], "create service "+s.Name)
		k.C.Assert(err, qt.IsNil)
		for kind, options := range s.Kinds {
			_, err := k.Command(k.Controls[0], "create kind "+s.Name+"/"+kind+" "+options)
			k.C.Assert(err, qt.IsNil)
		}
	}
	for _, n := range k.Nodes {
		for _, s := range k.Options.Services {
			k.WaitForServers(n, s.Name, s.Servers)
		}
	}
	for _, n := range k.Nodes {
		k.Eventually(func() error {
			if d := n.Dump(); d.Keeper.Active < d.Keeper.Groups || k.activeGroups() < 1024*min(len(k.Nodes), 3) {
				return fmt.Errorf("%s is the active keeper of %d of its %d groups", n.Name, d.Keeper.Active, d.Keeper.Groups)
			}
			return nil
		})
	}
}

func (k *Cluster) activeGroups() int {
	sum := 0
	for _, n := range k.Nodes {
		sum += n.Dump().Keeper.Active
	}
	return sum
}

// WaitForServers waits until a node has the configuration of a service and knows at least the given number of its servers.
func (k *Cluster) WaitForServers(n *Node, service string, servers int) {
	k.C.Helper()
	k.Eventually(func() error {
		// Code 202 (unknown kind) proves that the node has the configuration of the service; nothing is executed.
		if r := k.Send(n, service+"/none", Request{}); r.Code != 202 {
			return fmt.Errorf("%s has no configuration of %s: %+v", n.Name, service, r)
		}
		if got := n.Dump().Servers(service); len(got) < servers {
			return fmt.Errorf("%s knows %d of %d servers of %s", n.Name, len(got), servers, service)
		}
		return nil
	})
}

// StallOpenConnections drops, for good, all traffic on the connections between processes that are open now; new connections work.
func (k *Cluster) StallOpenConnections() { k.forEachForwarder((*Forwarder).StallOpenConnections) }
