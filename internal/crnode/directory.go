package crnode

import (
	"context"
	"strings"
	"time"

	"github.com/citronramp/citronramp/internal/crdirectory"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// Wire methods that a control instance serves for nodes.
const (
	MethodLookup  = "control.lookup"
	MethodConvict = "control.convict"
)

// maxEntrances bounds the entrances that are reported to callers.
const maxEntrances = 16

// directoryStates maps the state of a backend server to its number in the directory.
var directoryStates = map[string]uint32{StateStarting: 1, StateServing: 2, StateLeaving: 3}

func (n *Node) newDirectory() *crdirectory.Client {
	return &crdirectory.Client{
		Controls: n.Settings.Control, Endpoint: n.endpoint,
		OnSubset: n.updateServers, OnNotice: n.handleNotice, OnEntrances: n.setOtherEntrances,
	}
}

// announceToDirectory announces this node with the state of its backend server.
func (n *Node) announceToDirectory(a Announcement) {
	state, stopping := directoryStates[a.State], n.requests.isStopping()
	switch {
	case stopping:
		state = directoryStates[StateLeaving]
	case a.State == StateServing && !n.isCovered(n.Settings.Service):
		// Without the kinds of its service the gate would refuse every call.
		state = directoryStates[StateStarting]
	}
	n.directory.Announce(&crwire.DirectoryEntry{
		Node: n.Settings.Name, Incarnation: n.Incarnation, Service: n.Settings.Service, Address: n.Settings.Inner,
		Entrance: n.Settings.Listen, Domain: n.Settings.Domain, Region: n.Settings.Region,
		Slots: uint32(a.Slots), Connections: uint32(a.Connections), State: state, Stopping: stopping,
		Instance: a.Instance,
	})
}

// updateWatchesLocked subscribes at the directory and in the configuration tree to the services that this node needs. The
// caller holds servicesMu.
func (n *Node) updateWatchesLocked() {
	names := make([]string, 0, len(n.watched))
	for name := range n.watched {
		names = append(names, name)
	}
	n.directory.Watch(names, []string{n.Settings.Service})
	n.spread.Subscribe(names)
}

// updateServers applies the subset of a service's servers that the directory assigned to this node.
func (n *Node) updateServers(name string, servers []*crwire.DirectoryEntry) {
	now := time.Now()
	targets := make([]target, 0, len(servers))
	for _, e := range servers {
		if e.GetState() != directoryStates[StateServing] {
			continue
		}
		targets = append(targets, target{
			node: e.GetNode(), incarnation: e.GetIncarnation(), address: e.GetAddress(), domain: e.GetDomain(), slots: int(e.GetSlots()),
			sequence: e.GetSequence(), instance: e.GetInstance(),
		})
	}
	n.service(name).update(now, targets)
}

func (n *Node) setOtherEntrances(all []string) {
	n.servicesMu.Lock()
	defer n.servicesMu.Unlock()
	n.otherEntrances = all[:min(len(all), maxEntrances)]
}

func (n *Node) entrances() []string {
	n.servicesMu.Lock()
	defer n.servicesMu.Unlock()
	return append([]string{}, n.otherEntrances...)
}

// controlSession returns the session to the control instance that this node uses.
func (n *Node) controlSession(ctx context.Context) (*crwire.Session, error) {
	addr := n.directory.Control()
	if addr == "" {
		return nil, crcode.New(crcode.NoServer, "no control instance is reached")
	}
	return n.endpoint.Session(ctx, addr)
}

// lookup returns the address of the home of a request id. The name of the home ends in its incarnation.
func (n *Node) lookup(ctx context.Context, home string) (holder, error) {
	i := strings.LastIndexByte(home, '-')
	if i < 0 {
		return holder{}, crcode.New(crcode.BadID, "the home %q has no incarnation", home)
	}
	name, incarnation := home[:i], home[i+1:]
	s, err := n.controlSession(ctx)
	if err != nil {
		return holder{}, err
	}
	e, err := crwire.Call[crwire.DirectoryEntry](ctx, s, MethodLookup, &crwire.LookupRequest{Node: name})
	if err != nil {
		return holder{}, err
	}
	if e.GetIncarnation() != incarnation {
		return holder{}, crcode.New(crcode.StaleIncarnation, "%s has started again", name)
	}
	return holder{address: e.GetAddress(), incarnation: incarnation}, nil
}
