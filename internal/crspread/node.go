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

// Node takes part in the tree as a leaf or relay; set the fields, then call Register and Run.
type Node struct {
	// Config names the node; Source must be nil.
	Config Config
	// Endpoint dials control instances and parents and accepts children.
	Endpoint *crwire.Endpoint
	// OnUpdate, when set, takes each change into the node's view, in order; it must not block. After an error the node does
	// not acknowledge the version and asks for the whole view.
	OnUpdate func(Update) error

	run atomic.Pointer[driver]
}

// Register adds the handlers for children; call it before the endpoint's first session.
func (n *Node) Register(m *crwire.Mux) { register(m, &n.run) }

// Run takes part in the tree until ctx ends, then tells the parent that it leaves.
func (n *Node) Run(ctx context.Context) error {
	if n.Config.Source != nil {
		return crcode.New(crcode.BadValue, "a node has no source")
	}
	d := newDriver(n.Config, n.Endpoint, n.OnUpdate)
	n.run.Store(d)
	return d.loop(ctx)
}

// Subscribe replaces the services that the node needs; it has no effect before Run.
func (n *Node) Subscribe(services []string) bool {
	d := n.run.Load()
	return d != nil && d.in.Push(func(_ time.Time, c *Core) []Output { return c.Subscribe(services) })
}

// Status returns the state for dumps.
func (n *Node) Status() Status { return n.run.Load().status() }

// Root is the tree's root on a control instance; set the fields, then call Register and Run.
type Root struct {
	// Config names the control instance; Source must be set.
	Config Config
	// Endpoint accepts children.
	Endpoint *crwire.Endpoint

	run atomic.Pointer[driver]
}

// Register adds the handlers for children; call it before the endpoint's first session.
func (r *Root) Register(m *crwire.Mux) { register(m, &r.run) }

// Run serves children until ctx ends.
func (r *Root) Run(ctx context.Context) error {
	if r.Config.Source == nil {
		return crcode.New(crcode.BadValue, "a root needs a source")
	}
	d := newDriver(r.Config, r.Endpoint, nil)
	r.run.Store(d)
	return d.loop(ctx)
}

// Status returns the state for dumps; Progress covers the nodes below this root only.
func (r *Root) Status() Status { return r.run.Load().status() }

// WaitInForce waits until every node below this root has the version in force. When ctx ends first it returns
// crcode.WaitTimeout with the names of nodes that lag.
func (r *Root) WaitInForce(ctx context.Context, v crconfig.Version) error {
	tick := time.NewTicker(BatchInterval)
	defer tick.Stop()
	for {
		p := r.run.Load().progress()
		if !p.Version.Less(v) && !p.Minimum.Less(v) {
			return nil
		}
		select {
		case <-ctx.Done():
			return crcode.New(crcode.WaitTimeout, "%s", describe(p, v))
		case <-tick.C:
		}
	}
}

// describe names the nodes that are behind a version.
func describe(p Progress, v crconfig.Version) string {
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
