package crcontrol

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronramp/citronramp/internal/crreplica"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlog"
	"github.com/citronramp/citronramp/pkg/crstore"
)

// identityTimeout bounds an identity request to another control instance.
const identityTimeout = time.Second

// openReplica opens the data folder and creates the replica of the consensus log. An observer follows the log without
// a vote and has no data folder.
func (c *Control) openReplica(ctx context.Context) error {
	c.replica = &crreplica.Replica{
		Address: c.Settings.Inner, Endpoint: c.endpoint, StateMachine: c.stateMachine,
		Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	if c.Settings.Observer {
		c.replica.ID, c.replica.Observer, c.replica.Seeds = randomID(), true, c.Settings.Join
		return nil
	}
	report := func(format string, args ...any) {
		_ = level.Info(c.Logger).Log("msg", "data folder: "+fmt.Sprintf(format, args...))
	}
	newID := func() (uint64, error) { return c.newMemberID(ctx) }
	store, state, err := crstore.Open(crstore.OS{}, c.Settings.DataDir, c.Settings.Name, newID, report)
	if err != nil {
		return err
	}
	c.replica.Store, c.replica.State, c.replica.ID = store, state, store.Identity().ID
	if c.NewCluster {
		c.replica.Bootstrap = c.bootstrapMembers()
	}
	return nil
}

// newMemberID returns the member id of an instance with an empty data folder. An initial member of a new cluster gets the
// id that the other initial members derive for it. Any other instance gets a random id, so that an instance that lost its
// disk is never mistaken for the member that it was before.
func (c *Control) newMemberID(ctx context.Context) (uint64, error) {
	if !c.NewCluster {
		return randomID(), nil
	}
	for _, addr := range c.peers() {
		id, err := c.queryIdentity(ctx, addr)
		if err == nil && id.GetHasLog() {
			return 0, crcode.New(crcode.StoreForeign,
				"%s at %s already has a log; start without --new-cluster and let an operator add this instance", id.GetName(), addr)
		}
	}
	return bootstrapID(c.Settings.Name, c.Settings.Inner), nil
}

func randomID() uint64 { return rand.Uint64() | 1 }

// bootstrapID returns the id of an initial member of a new cluster. It is derived from the settings, so that all initial
// members compute the same ids.
func bootstrapID(name, inner string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + "|" + inner))
	return h.Sum64() | 1
}

// bootstrapMembers returns the initial members of a new cluster.
func (c *Control) bootstrapMembers() crlog.Members {
	if len(c.Settings.Members) == 0 {
		return crlog.Members{{ID: c.replica.ID, Name: c.Settings.Name, Address: c.Settings.Inner}}
	}
	var out crlog.Members
	for _, m := range c.Settings.Members {
		out = append(out, crlog.Member{ID: bootstrapID(m.Name, m.Inner), Name: m.Name, Address: m.Inner})
	}
	return out
}

// queryIdentity requests name, member id and log state of the control instance at addr.
func (c *Control) queryIdentity(ctx context.Context, addr string) (*crwire.IdentityResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, identityTimeout)
	defer cancel()
	s, err := c.endpoint.Session(ctx, addr)
	if err != nil {
		return nil, err
	}
	return crwire.Call[crwire.IdentityResponse](ctx, s, methodIdentity, &crwire.IdentityRequest{})
}

func (c *Control) handleIdentity(context.Context, *crwire.Session, *crwire.IdentityRequest) (*crwire.IdentityResponse, error) {
	return &crwire.IdentityResponse{
		Name: c.Settings.Name, MemberId: c.replica.ID, HasLog: c.replica.Status().Last > 0,
	}, nil
}
