package crcontrol

import (
	"context"
	"slices"
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crlog"
)

// progressGrace is how much longer than the requested wait another control instance may take to answer.
const progressGrace = time.Second

// progress reports on how many nodes a configuration version is in force.
type progress struct {
	nodes, inForce int
	// minimum is the oldest version in force on any of the nodes.
	minimum crconfig.Version
	// behind names nodes with an older version; it may be incomplete.
	behind []string
	// unreached names the control instances that did not answer; the nodes below them are not counted.
	unreached []string
}

// add adds the progress of other nodes.
func (p *progress) add(o progress) {
	if o.nodes > 0 && (p.nodes == 0 || o.minimum.Less(p.minimum)) {
		p.minimum = o.minimum
	}
	p.nodes += o.nodes
	p.inForce += o.inForce
	p.behind = append(p.behind, o.behind...)
	p.unreached = append(p.unreached, o.unreached...)
}

// localProgress waits at most wait until v is in force on all nodes of this instance's part of the configuration tree, and
// returns their progress.
func (c *Control) localProgress(ctx context.Context, v crconfig.Version, wait time.Duration) progress {
	if wait > 0 {
		ctx, cancel := context.WithTimeout(ctx, wait)
		defer cancel()
		// The error is not needed: the status read below shows whether the version is in force.
		_ = c.root.WaitInForce(ctx, v)
	}
	root := c.root.Status()
	st := root.Progress
	p := progress{nodes: st.Nodes, inForce: st.Nodes, minimum: st.Minimum}
	if st.Minimum.Less(v) {
		behind := st.LaggingMore
		for _, l := range st.Lagging {
			if l.Version.Less(v) {
				behind++
				p.behind = append(p.behind, l.Name)
			}
		}
		if root.Version.Less(v) {
			// The root has not sent this version yet. Its lagging nodes are those behind the last version sent, so all
			// nodes are behind this one.
			behind = st.Nodes
		}
		p.inForce = max(p.nodes-behind, 0)
	}
	return p
}

// progress returns the progress of all nodes. It queries all control instances concurrently, since each is the root of
// the tree for a part of the nodes.
func (c *Control) progress(ctx context.Context, v crconfig.Version, wait time.Duration) progress {
	peers := c.otherInstances()
	results := make(chan progress, len(peers))
	for _, m := range peers {
		go func() { results <- c.remoteProgress(ctx, m, v, wait) }()
	}
	total := c.localProgress(ctx, v, wait)
	for range peers {
		total.add(<-results)
	}
	slices.Sort(total.unreached)
	return total
}

// remoteProgress queries the control instance m for the progress of the nodes below it.
func (c *Control) remoteProgress(ctx context.Context, m crlog.Member, v crconfig.Version, wait time.Duration) progress {
	ctx, cancel := context.WithTimeout(ctx, wait+progressGrace)
	defer cancel()
	s, err := c.endpoint.Session(ctx, m.Address)
	if err != nil {
		return progress{unreached: []string{m.Name}}
	}
	resp, err := crwire.Call[crwire.ProgressResponse](ctx, s, methodProgress, &crwire.ProgressRequest{Version: v.Proto(), WaitMs: wait.Milliseconds()})
	if err != nil {
		return progress{unreached: []string{m.Name}}
	}
	return progress{
		nodes: int(resp.GetNodes()), inForce: int(resp.GetInForce()), minimum: crconfig.VersionFromProto(resp.GetMinimum()), behind: resp.GetBehind(),
	}
}

// otherInstances returns the other members of the consensus log.
func (c *Control) otherInstances() []crlog.Member {
	var out []crlog.Member
	for _, m := range c.replica.Status().Members {
		if m.ID != c.replica.ID {
			out = append(out, m)
		}
	}
	return out
}
