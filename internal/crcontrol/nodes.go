package crcontrol

import (
	"context"
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crnode"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crquarantine"
)

// register registers the handlers of the methods that nodes and other control instances call.
func (c *Control) register() {
	mux := c.endpoint.Mux
	crwire.Handle(mux, methodCommand, c.handleCommand)
	crwire.Handle(mux, methodIdentity, c.handleIdentity)
	crwire.Handle(mux, methodProgress, c.handleProgress)
	crwire.Handle(mux, crnode.MethodLookup, c.handleLookup)
	crwire.Handle(mux, crnode.MethodConvict, c.handleConvict)
}

// handleLookup returns the directory entry of a node.
func (c *Control) handleLookup(_ context.Context, _ *crwire.Session, req *crwire.LookupRequest) (*crwire.DirectoryEntry, error) {
	members, _ := c.directory.Members()
	for _, e := range members {
		if e.GetNode() == req.GetNode() {
			return e, nil
		}
	}
	return nil, crcode.New(crcode.NotFound, "node %s", req.GetNode())
}

// handleConvict adds a conviction, the block of a request fingerprint that crashed backend servers, to the configuration.
// An instance that is not the leader forwards a node's request to the leader, but not one that was already forwarded.
func (c *Control) handleConvict(ctx context.Context, from *crwire.Session, req *crwire.ConvictRequest) (*crwire.ConvictResponse, error) {
	st := c.replica.Status()
	if !st.Leads {
		if from.Peer().Role == crwire.RoleControl || st.LeaderAddress == "" {
			return nil, crcode.New(crcode.NoLeader, "")
		}
		s, err := c.endpoint.Session(ctx, st.LeaderAddress)
		if err != nil {
			return nil, err
		}
		return crwire.Call[crwire.ConvictResponse](ctx, s, crnode.MethodConvict, req)
	}
	now := time.Now()
	answer, err := c.propose(ctx, &crwire.ConfigCommand{
		Operator: from.Peer().Name, ProposedMs: now.UnixMilli(),
		Change: &crwire.ConfigCommand_Convict{Convict: &crwire.Convict{Conviction: &crwire.Conviction{
			Fingerprint: req.GetFingerprint(), Service: req.GetService(), Kind: req.GetKind(),
			SinceMs: now.UnixMilli(), ExpiresMs: now.Add(crquarantine.ConvictionLifetime).UnixMilli(),
		}}},
	})
	if err != nil {
		return nil, err
	}
	if err := crconfig.AnswerError(answer); err != nil && crcode.Of(err) != crcode.Exists {
		return nil, err
	}
	return &crwire.ConvictResponse{}, nil
}
