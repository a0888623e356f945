package crcontrol

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crkeeper"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crrecord"
)

// keeperInterval is the interval at which the leader checks whether the members of keeper groups must change. Keepers are
// the nodes that store the request records of their group.
const keeperInterval = time.Second

// keeperLoop assigns keepers to groups periodically while this instance is the leader.
func (c *Control) keeperLoop(ctx context.Context) {
	t := time.NewTicker(keeperInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		if !c.replica.Status().Leads {
			continue
		}
		if err := c.assignKeepers(ctx, time.Now()); err != nil {
			c.Counters.Add("keeper_assignments_failed", 1)
			_ = level.Info(c.Logger).Log("msg", "assignment of record keepers failed", "err", err)
		}
	}
}

// assignKeepers proposes new members for the groups that need them. Once groups exist, it does nothing until the directory
// has settled, because an incomplete directory makes live keepers look lost.
func (c *Control) assignKeepers(ctx context.Context, now time.Time) error {
	members, settled := c.directory.Members()
	current := c.currentGroups()
	if len(members) == 0 || !settled && len(current) > 0 {
		return nil
	}
	live := keeperCandidates(members)
	stuck := c.observeHandovers(ctx, current, live)
	changed := crrecord.Assign(crrecord.Assignment{
		Live: live, Configured: current, NowMS: time.Now().UnixMilli(), Unstarted: c.handovers.watch.Unstarted(), Stuck: stuck,
	})
	if len(changed) == 0 {
		return nil
	}
	cmd := &crwire.AssignGroups{}
	for _, g := range changed {
		cmd.Groups = append(cmd.Groups, crkeeper.GroupToWire(g))
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	answer, err := c.propose(ctx, &crwire.ConfigCommand{
		Operator: c.Settings.Name, ProposedMs: now.UnixMilli(), Change: &crwire.ConfigCommand_AssignGroups{AssignGroups: cmd},
	})
	if err != nil {
		return err
	}
	if err := crconfig.AnswerError(answer); err != nil {
		return err
	}
	c.Counters.Add("keeper_groups_changed", int64(len(changed)))
	_ = level.Info(c.Logger).Log("msg", "record keepers assigned", "groups", len(changed), "nodes", len(members),
		"version", crconfig.VersionFromProto(answer.GetVersion()))
	return nil
}

// currentGroups returns the keeper groups of the applied configuration.
func (c *Control) currentGroups() []crrecord.Group {
	var out []crrecord.Group
	c.stateMachine.read(func(s *crconfig.State) {
		for _, o := range s.Objects("group/") {
			if g, err := crconfig.DecodeGroup(o.GetEntry()); err == nil {
				out = append(out, crkeeper.GroupFromWire(g))
			}
		}
	})
	return out
}

// keeperCandidates returns the nodes that may become keepers: all except those suspected to be down.
func keeperCandidates(members []*crwire.DirectoryEntry) []crrecord.Candidate {
	out := make([]crrecord.Candidate, 0, len(members))
	for _, e := range members {
		if e.GetSuspect() {
			continue
		}
		out = append(out, crrecord.Candidate{
			Member:  crrecord.Member{Node: e.GetNode(), Incarnation: e.GetIncarnation(), Address: e.GetAddress(), Domain: e.GetDomain()},
			Leaving: e.GetStopping(),
		})
	}
	return out
}
