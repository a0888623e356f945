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

// identityTimeout bounds the question to another control instance who it is.
const identityTimeout = time.Second

// openReplica opens the data folder; an observer has none.
func (c *Control) openReplica(ctx context.Context) error {
	c.replica = &crreplica.Replica{
		Address: c.Settings.Inner, Endpoint: c.endpoint, Machine: c.machine,
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
		c.replica.Bootstrap = c.firstMembers()
	}
	return nil
}

// newMemberID returns the id of an instance with an empty data folder. A first member has the id that the other first
// members expect. Every other one gets a random id, so that an instance that lost its disk is never taken for the old one.
func (c *Control) newMemberID(ctx context.Context) (uint64, error) {
	if !c.NewCluster {
		return randomID(), nil
	}
	for _, addr := range c.peers() {
		id, err := c.identityOf(ctx, addr)
		if err == nil && id.GetHasLog() {
			return 0, crcode.New(crcode.StoreForeign,
				"%s at %s already has a log; start without --new-cluster and let an operator add this instance", id.GetName(), addr)
		}
	}
	return firstID(c.Settings.Name, c.Settings.Inner), nil
}

func randomID() uint64 { return rand.Uint64() | 1 }

// firstID is the id of a first member, the same for all who have the same settings.
func firstID(name, inner string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name + "|" + inner))
	return h.Sum64() | 1
}

func (c *Control) firstMembers() crlog.Members {
	if len(c.Settings.Members) == 0 {
		return crlog.Members{{ID: c.replica.ID, Name: c.Settings.Name, Address: c.Settings.Inner}}
	}
	var out crlog.Members
	for _, m := range c.Settings.Members {
		out = append(out, crlog.Member{ID: firstID(m.Name, m.Inner), Name: m.Name, Address: m.Inner})
	}
	return out
}

// identityOf asks the control instance at addr who it is.
func (c *Control) identityOf(ctx context.Context, addr string) (*crwire.IdentityResponse, error) {
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
