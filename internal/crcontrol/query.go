package crcontrol

import (
	"context"
	"slices"
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crlang"
	"github.com/citronramp/citronramp/internal/crprint"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crclock"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crlog"
)

// query answers a command that does not change the state.
func (c *Control) query(ctx context.Context, cmd crlang.Command) (crprint.Answer, error) {
	switch x := cmd.(type) {
	case crlang.Help:
		return crprint.HelpOf(x.Word), nil
	case crlang.Wait:
		return c.wait(ctx, x)
	case crlang.Show:
		if x.Topic == crlang.Leader {
			return c.leaderInfo(), nil
		}
		// The read index makes sure that this instance still leads and that its state includes every accepted change.
		readCtx, cancel := context.WithTimeout(ctx, commandTimeout)
		defer cancel()
		if _, err := c.replica.ReadIndex(readCtx); err != nil {
			return nil, crcode.New(crcode.NoLeader, "the state is not confirmed: %v", err)
		}
		return c.show(ctx, x)
	}
	return nil, crcode.New(crcode.UnknownCommand, "%s", cmd)
}

func (c *Control) show(ctx context.Context, x crlang.Show) (a crprint.Answer, err error) {
	switch x.Topic {
	case crlang.Members:
		return c.members(), nil
	case crlang.Servers:
		return c.servers(x.Service), nil
	case crlang.Shedding:
		return c.shedding(ctx, x.Service), nil
	case crlang.Spread:
		return c.spread(ctx, x.Version), nil
	}
	c.stateMachine.read(func(s *crconfig.State) {
		switch x.Topic {
		case crlang.Services:
			a = crprint.ServicesOf(s)
		case crlang.Kinds:
			a = crprint.KindsOf(s, x.Service)
		case crlang.Convictions:
			a = crprint.ConvictionsOf(s, x.Service, x.Since, time.Now())
		case crlang.ConfigVersion:
			age, confirmed := c.confirm.Age(crclock.Now())
			a = crprint.Version{Version: s.Version(), Confirmed: confirmed, AgeMS: age.Milliseconds()}
		default:
			err = crcode.New(crcode.UnknownCommand, "%s", x)
		}
	})
	return a, err
}

// leaderInfo returns the leader as known to this instance.
func (c *Control) leaderInfo() crprint.Leader {
	st := c.replica.Status()
	out := crprint.Leader{Term: st.Term, Address: st.LeaderAddress, Voters: len(st.Members.Voters())}
	if st.Leads {
		out.LeaseMS = st.Lease.Milliseconds()
	}
	for _, m := range st.Members {
		if m.ID == st.Leader && st.Leader != 0 {
			out.Name = m.Name
		}
	}
	if st.Leads {
		for _, f := range st.Followers {
			if f.Contact < reachableWithin {
				out.Reachable++
			}
		}
		out.Reachable++
	}
	return out
}

// reachableWithin is the largest age of the last message of a member that counts as reachable.
const reachableWithin = 2 * time.Second

func (c *Control) members() crprint.Members {
	st := c.replica.Status()
	var out crprint.Members
	for _, m := range st.Members {
		role := "voter"
		if m.Learner {
			role = "learner"
		}
		row := crprint.Member{Name: m.Name, Address: m.Address, Role: role, Leader: m.ID == st.Leader, Match: st.Last}
		if i := slices.IndexFunc(st.Followers, func(f crlog.FollowerStatus) bool { return f.ID == m.ID }); i >= 0 {
			row.Match, row.ContactMS = st.Followers[i].Match, st.Followers[i].Contact.Milliseconds()
		}
		out.Members = append(out.Members, row)
	}
	return out
}

// serverStates maps the state numbers of directory entries to their names.
var serverStates = map[uint32]string{1: "starting", 2: "serving", 3: "leaving"}

func (c *Control) servers(service string) crprint.Servers {
	entries, _ := c.directory.Members()
	var drained map[string]bool
	c.stateMachine.read(func(s *crconfig.State) { drained = crprint.DrainedOf(s) })
	var out crprint.Servers
	for _, e := range entries {
		if e.GetService() == "" || service != "" && e.GetService() != service {
			continue
		}
		state := serverStates[e.GetState()]
		if e.GetSuspect() {
			state = "suspect"
		}
		out.Servers = append(out.Servers, crprint.Server{
			Node: e.GetNode(), Service: e.GetService(), Address: e.GetAddress(), Domain: e.GetDomain(), State: state, Drained: drained[e.GetNode()],
		})
	}
	return out
}

// spread returns on how many nodes of all control instances a version is in force; a nil v stands for the latest version
// applied on this instance.
func (c *Control) spread(ctx context.Context, v *crconfig.Version) crprint.Spread {
	version := c.stateMachine.Version()
	if v != nil {
		version = *v
	}
	p := c.progress(ctx, version, 0)
	return crprint.Spread{Version: version, Nodes: p.nodes, InForce: p.inForce, Minimum: p.minimum, Behind: p.behind, Unreached: p.unreached}
}

// wait returns once a version is in force on every node, or when the timeout expires.
func (c *Control) wait(ctx context.Context, x crlang.Wait) (crprint.Answer, error) {
	if c.stateMachine.Version().Less(x.Version) {
		return nil, crcode.New(crcode.NotFound, "version %s was not accepted; the latest is %s", x.Version, c.stateMachine.Version())
	}
	start := time.Now()
	p := c.progress(ctx, x.Version, x.Timeout)
	return crprint.WaitResult{
		Version: x.Version, Done: p.nodes == p.inForce && len(p.unreached) == 0, ElapsedMS: time.Since(start).Milliseconds(),
		Nodes: p.nodes, InForce: p.inForce, Behind: p.behind, Unreached: p.unreached,
	}, nil
}

// handleProgress returns the progress of the nodes below this instance to another control instance.
func (c *Control) handleProgress(ctx context.Context, _ *crwire.Session, req *crwire.ProgressRequest) (*crwire.ProgressResponse, error) {
	p := c.localProgress(ctx, crconfig.VersionFromProto(req.GetVersion()), time.Duration(req.GetWaitMs())*time.Millisecond)
	return &crwire.ProgressResponse{Nodes: uint32(p.nodes), InForce: uint32(p.inForce), Minimum: p.minimum.Proto(), Behind: p.behind}, nil
}
