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

// keeperInterval is how often the control instance in charge looks whether record keepers must change.
const keeperInterval = time.Second

// keeperLoop assigns record keepers while this instance is in charge.
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
			_ = level.Info(c.Logger).Log("msg", "keepers were not assigned", "err", err)
		}
	}
}

// assignKeepers proposes the groups whose members must change.
func (c *Control) assignKeepers(ctx context.Context, now time.Time) error {
	members, settled := c.directory.Members()
	present := c.presentGroups()
	if len(members) == 0 || !settled && len(present) > 0 {
		return nil
	}
	live := candidates(members)
	stuck := c.observeHandovers(ctx, present, live)
	changed := crrecord.Assign(crrecord.Assignment{
		Live: live, Present: present, NowMS: time.Now().UnixMilli(), Unstarted: c.handovers.watch.Unstarted(), Stuck: stuck,
	})
	if len(changed) == 0 {
		return nil
	}
	cmd := &crwire.AssignGroups{}
	for _, g := range changed {
		cmd.Groups = append(cmd.Groups, crkeeper.WireGroup(g))
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
	_ = level.Info(c.Logger).Log("msg", "record keepers assigned", "groups", len(changed), "nodes", len(members), "version", crconfig.VersionOf(answer.GetVersion()))
	return nil
}

func (c *Control) presentGroups() []crrecord.Group {
	var out []crrecord.Group
	c.machine.read(func(s *crconfig.State) {
		for _, o := range s.Objects("group/") {
			if g, err := crconfig.GroupOf(o.GetEntry()); err == nil {
				out = append(out, crkeeper.GroupOf(g))
			}
		}
	})
	return out
}

func candidates(members []*crwire.DirectoryEntry) []crrecord.Candidate {
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
