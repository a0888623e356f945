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

// maxEntrances bounds the entrances that callers are told.
const maxEntrances = 16

// States of a server in the directory.
var directoryStates = map[string]uint32{StateStarting: 1, StateServing: 2, StateLeaving: 3}

func (n *Node) newDirectory() *crdirectory.Client {
	return &crdirectory.Client{
		Controls: n.Settings.Control, Endpoint: n.endpoint,
		OnSubset: n.subset, OnNotice: n.noticed, OnEntrances: n.learnEntrances,
	}
}

// tellDirectory announces this node with the state of its backend server.
func (n *Node) tellDirectory(a Announcement) {
	state, stopping := directoryStates[a.State], n.work.stops()
	switch {
	case stopping:
		state = directoryStates[StateLeaving]
	case a.State == StateServing && !n.followed(n.Settings.Service):
		// Without the kinds of its service the gate would refuse everything.
		state = directoryStates[StateStarting]
	}
	n.directory.Announce(&crwire.DirectoryEntry{
		Node: n.Settings.Name, Incarnation: n.Incarnation, Service: n.Settings.Service, Address: n.Settings.Inner,
		Entrance: n.Settings.Listen, Domain: n.Settings.Domain, Region: n.Settings.Region,
		Slots: uint32(a.Slots), Connections: uint32(a.Connections), State: state, Stopping: stopping,
		Instance: a.Instance,
	})
}

// watchLocked tells the directory and the tree which services this node needs; the caller holds servicesMu.
func (n *Node) watchLocked() {
	names := make([]string, 0, len(n.watched))
	for name := range n.watched {
		names = append(names, name)
	}
	n.directory.Watch(names, []string{n.Settings.Service})
	n.spread.Subscribe(names)
}

// subset takes the servers of a service that the directory chose for this node.
func (n *Node) subset(name string, servers []*crwire.DirectoryEntry) {
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

func (n *Node) learnEntrances(all []string) {
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

// lookup returns where the home of an id is; the home's name ends in its incarnation.
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
