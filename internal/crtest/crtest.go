// Package crtest runs real nodes and control instances in one process over loopback for tests that break parts of them.
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

// Deadline bounds every wait for a condition; a condition that is not met by then is a failure.
const Deadline = 30 * time.Second

// Service is one service with its kinds, which are the options of "create kind".
type Service struct {
	Name    string
	Servers int
	Slots   int
	Kinds   map[string]string
}

// Options describe a deployment.
type Options struct {
	// Controls is the number of voting control instances, 1 when it is zero.
	Controls int
	Services []Service
	// Handle is what every backend server does; nil answers at once.
	Handle func(*Run)
	// Node, when set, changes the settings of each node before its start.
	Node func(*crsettings.Node)
	// Before, when set, is called with each node before its start.
	Before func(*crnode.Node)
}

// Cluster is a running deployment.
type Cluster struct {
	C        *qt.C
	Options  Options
	Controls []*Control
	Nodes    []*Node
	Ledger   *Ledger
	Client   *http.Client
}

// process is what control instances and nodes have in common.
type process struct {
	Name string
	// Front stands before the inner port; all other processes know only its address.
	Front  *Forwarder
	cancel context.CancelFunc
	done   chan struct{}
	err    error
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

// Node is one running node with the backend server beside it.
type Node struct {
	process
	*crnode.Node
	Server  *Server
	callers *tracked
	spec    Service
	cluster *Cluster
}

// Start runs a deployment until the test ends and waits until every node can reach every server that it asks for.
func Start(t testing.TB, o Options) *Cluster {
	k := &Cluster{C: qt.New(t), Options: o, Ledger: NewLedger(), Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
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
	front.Target(inner.Addr().String())
	c := &Control{process: process{Name: members[i].Name, Front: front}, Control: &crcontrol.Control{
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

// StartNode runs one more node of a service with a backend server beside it.
func (k *Cluster) StartNode(s Service, name string, domain int) *Node {
	front := NewForwarder(k.C)
	callers, inner, admin := &tracked{Listener: k.listen()}, k.listen(), k.listen()
	front.Target(inner.Addr().String())
	settings := crsettings.Node{
		Name: name, Domain: string(rune('a' + domain%3)), Region: "r", Service: s.Name,
		Listen: callers.Addr().String(), Inner: front.Address(), Admin: admin.Addr().String(),
		Secret: Secret, MaxBodyBytes: 1 << 20, MaxRequests: 200, QueueLength: 100, QueueTime: 100 * time.Millisecond, StopTimeout: 5 * time.Second,
	}
	for i := range k.Controls {
		settings.Control = append(settings.Control, k.Controls[(i+domain)%len(k.Controls)].Front.Address())
	}
	if k.Options.Node != nil {
		k.Options.Node(&settings)
	}
	n := &Node{process: process{Name: name, Front: front}, callers: callers, spec: s, cluster: k, Node: &crnode.Node{
		Settings: settings, Callers: callers, Inner: inner, Admin: admin, Logger: log.NewNopLogger(),
	}}
	if k.Options.Before != nil {
		k.Options.Before(n.Node)
	}
	n.run(n.Node.Run)
	n.StartServer()
	k.Nodes = append(k.Nodes, n)
	return n
}

// StartServer runs a new backend server beside the node; an earlier one must have ended.
func (n *Node) StartServer() *Server {
	handle := n.cluster.Options.Handle
	if handle == nil {
		handle = (*Run).Answer
	}
	n.Server = startServer(n.cluster, n.spec, n.Settings.Listen, n.Name, handle)
	return n.Server
}

// Kill makes the node as good as dead for everybody else: its ports and all its connections are closed at once.
func (n *Node) Kill() {
	n.callers.kill()
	n.Front.Cut()
	n.cluster.eachFront(func(f *Forwarder) { f.CutFrom(n.Name) })
	n.cancel()
}

// Partition stops all traffic between the named processes and all others without closing a connection.
func (k *Cluster) Partition(names ...string) {
	fronts := k.fronts()
	for owner, f := range fronts {
		for name := range fronts {
			if slices.Contains(names, owner) != slices.Contains(names, name) {
				f.SilenceFrom(name, true)
			}
		}
	}
}

// Heal ends every partition.
func (k *Cluster) Heal() { k.eachFront((*Forwarder).Resume) }

func (k *Cluster) fronts() map[string]*Forwarder {
	out := map[string]*Forwarder{}
	for _, c := range k.Controls {
		out[c.Name] = c.Front
	}
	for _, n := range k.Nodes {
		out[n.Name] = n.Front
	}
	return out
}

// Kill makes the control instance as good as dead for all other processes at once.
func (k *Cluster) Kill(c *Control) {
	c.Front.Cut()
	k.eachFront(func(f *Forwarder) { f.CutFrom(c.Name) })
	c.cancel()
}

// Join starts a control instance with an empty data folder that waits until an operator adds it.
func (k *Cluster) Join(name, dir string) *Control {
	front := NewForwarder(k.C)
	inner, operator, admin := k.listen(), k.listen(), k.listen()
	front.Target(inner.Addr().String())
	var join []string
	for _, c := range k.Controls {
		join = append(join, c.Front.Address())
	}
	c := &Control{process: process{Name: name, Front: front}, Control: &crcontrol.Control{
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

// Restart stops a control instance and starts it again with its data folder.
func (k *Cluster) Restart(c *Control) {
	k.C.Check(c.Stop(), qt.IsNil)
	inner, operator, admin := k.listen(), k.listen(), k.listen()
	c.Front.Target(inner.Addr().String())
	settings := c.Settings
	settings.Operator, settings.Admin = operator.Addr().String(), admin.Addr().String()
	c.Control = &crcontrol.Control{Settings: settings, Inner: inner, Operator: operator, Admin: admin, Logger: log.NewNopLogger()}
	c.run(c.Control.Run)
}

func (k *Cluster) eachFront(f func(*Forwarder)) {
	for _, c := range k.Controls {
		f(c.Front)
	}
	for _, n := range k.Nodes {
		f(n.Front)
	}
}

func (k *Cluster) stop() {
	// Forwarders that are still silent would hold up every process that waits for an answer.
	k.eachFront((*Forwarder).Resume)
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
	k.eachFront((*Forwarder).Close)
	k.Client.CloseIdleConnections()
	http.DefaultClient.CloseIdleConnections()
}

// Until waits until f has no error.
func (k *Cluster) Until(f func() error) {
	k.C.Helper()
	end := time.Now().Add(Deadline)
	for {
		err := f()
		if err == nil {
			return
		}
		if time.Now().After(end) {
			k.C.Fatalf("not within %s: %v", Deadline, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Command sends one operator command to a control instance.
func (k *Cluster) Command(c *Control, line string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return (&croperator.Client{Address: c.Settings.Operator, Secret: Secret, HTTP: k.Client}).Command(ctx, line)
}

func (k *Cluster) configure() {
	k.Until(func() error { _, err := k.Command(k.Controls[0], "create service first"); return err })
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
			k.Reaches(n, s.Name, s.Servers)
		}
	}
	for _, n := range k.Nodes {
		k.Until(func() error {
			if d := n.Dump(); d.Keeper.Active < d.Keeper.Groups || k.groups() < 1024*min(len(k.Nodes), 3) {
				return fmt.Errorf("%s serves %d of %d groups", n.Name, d.Keeper.Active, d.Keeper.Groups)
			}
			return nil
		})
	}
}

func (k *Cluster) groups() int {
	sum := 0
	for _, n := range k.Nodes {
		sum += n.Dump().Keeper.Active
	}
	return sum
}

// Reaches waits until a node has the kinds of a service and knows as many of its servers.
func (k *Cluster) Reaches(n *Node, service string, servers int) {
	k.C.Helper()
	k.Until(func() error {
		// A kind that does not exist is refused only once the node follows the service, and nothing is run.
		if r := k.Send(n, service+"/none", Request{}); r.Code != 202 {
			return fmt.Errorf("%s does not follow %s: %+v", n.Name, service, r)
		}
		if got := n.Dump().Servers(service); len(got) < servers {
			return fmt.Errorf("%s knows %d of %d servers of %s", n.Name, len(got), servers, service)
		}
		return nil
	})
}

// SilenceOpen stops the traffic of all connections between processes that are open, for good; new ones work.
func (k *Cluster) SilenceOpen() { k.eachFront((*Forwarder).SilenceOpen) }
