package crcoord

import (
	"context"

	"github.com/citronramp/citronramp/internal/crreplica"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crclock"
	"github.com/citronramp/citronramp/pkg/crcode"
)

// FreshnessTimeout bounds the wait for a confirmation. A round that takes longer confirms nothing.
const FreshnessTimeout = crreplica.ConfirmationTTL

// handleFreshness returns the newest version after the leader has confirmed it in a round that began after the request
// arrived, so that the version includes all that was acknowledged before the request was sent. It waits for the next of the
// regular rounds and triggers none, so that the load on the leader does not grow with the number of nodes.
func (c *Coordinator) handleFreshness(ctx context.Context, _ *crwire.Session, _ *crwire.DocumentFreshness) (*crwire.DocumentFreshnessReply, error) {
	arrived := crclock.Now()
	ctx, cancel := context.WithTimeout(ctx, FreshnessTimeout)
	defer cancel()
	for {
		renewed := c.confirmation.Renewed()
		if c.confirmation.ConfirmedSince(crclock.Now(), arrived) {
			// The version is read after the check, so that it is not older than the confirmed state.
			d, _ := c.machine.Current()
			return &crwire.DocumentFreshnessReply{Version: d.GetVersion()}, nil
		}
		select {
		case <-ctx.Done():
			return nil, crcode.New(crcode.NoLeader, "no leader has confirmed the version in time")
		case <-renewed:
		}
	}
}
