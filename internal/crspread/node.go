package crspread

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// Node is a leaf or relay of the tree. Set the fields, then call Register and Run.
type Node struct {
	// Config describes the node; Source must be nil.
	Config Config
	// Endpoint connects to control instances and parents and accepts children.
	Endpoint *crwire.Endpoint
	// OnUpdate, when set, applies each Update to the node's view, in order. It must not block. After an error the node
	// doesn't acknowledge the version and requests the whole view.
	OnUpdate func(Update) error

	driver atomic.Pointer[driver]
}

// Register adds the handlers for children; call it before the endpoint's first session.
func (n *Node) Register(m *crwire.Mux) { register(m, &n.driver) }

// Run runs the node until ctx ends, then notifies the parent that the node leaves.
func (n *Node) Run(ctx context.Context) error {
	if n.Config.Source != nil {
		return crcode.New(crcode.BadValue, "a node has no source")
	}
	d := newDriver(n.Config, n.Endpoint, n.OnUpdate)
	n.driver.Store(d)
	return d.loop(ctx)
}

// Subscribe replaces the set of services that the node needs. It reports false, without effect, before Run and when the
// event queue is full.
func (n *Node) Subscribe(services []string) bool {
	d := n.driver.Load()
	return d != nil && d.events.Push(func(_ time.Time, c *Core) []Output { return c.Subscribe(services) })
}

// Status returns the state for diagnostic dumps.
func (n *Node) Status() Status { return n.driver.Load().status() }

// Root is a root of the tree on a control instance. Set the fields, then call Register and Run.
type Root struct {
	// Config describes the control instance; Source must be set.
	Config Config
	// Endpoint accepts children.
	Endpoint *crwire.Endpoint

	driver atomic.Pointer[driver]
}

// Register adds the handlers for children; call it before the endpoint's first session.
func (r *Root) Register(m *crwire.Mux) { register(m, &r.driver) }

// Run serves children until ctx ends.
func (r *Root) Run(ctx context.Context) error {
	if r.Config.Source == nil {
		return crcode.New(crcode.BadValue, "a root needs a source")
	}
	d := newDriver(r.Config, r.Endpoint, nil)
	r.driver.Store(d)
	return d.loop(ctx)
}

// Status returns the state for diagnostic dumps; its Progress covers only the nodes below this root.
func (r *Root) Status() Status { return r.driver.Load().status() }

// WaitInForce waits until every node below this root has the version in force. When ctx ends first, it returns
// crcode.WaitTimeout with the names of lagging nodes.
func (r *Root) WaitInForce(ctx context.Context, v crconfig.Version) error {
	tick := time.NewTicker(BatchInterval)
	defer tick.Stop()
	for {
		p := r.driver.Load().progress()
		if !p.Version.Less(v) && !p.Minimum.Less(v) {
			return nil
		}
		select {
		case <-ctx.Done():
			return crcode.New(crcode.WaitTimeout, "%s", describeLagging(p, v))
		case <-tick.C:
		}
	}
}

// describeLagging returns a text that names the nodes behind a version.
func describeLagging(p Progress, v crconfig.Version) string {
	var b strings.Builder
	b.WriteString("version " + v.String() + ", minimum " + p.Minimum.String() + ", behind:")
	for _, l := range p.Lagging {
		if l.Version.Less(v) {
			b.WriteString(" " + l.Name)
		}
	}
	if p.LaggingMore > 0 {
		b.WriteString(" and others")
	}
	return b.String()
}
