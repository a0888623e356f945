package crcontrol

import (
	"time"

	"github.com/citronramp/citronramp/internal/crdirectory"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crclock"
)

// memberDump is one member of the consensus log in the state dump.
type memberDump struct {
	ID        uint64 `json:"id"`
	Name      string `json:"name"`
	Address   string `json:"address"`
	Learner   bool   `json:"learner"`
	Match     uint64 `json:"match,omitempty"`
	ContactMS int64  `json:"contact_ms,omitempty"`
}

// leaseDump is one node of the directory in the state dump.
type leaseDump struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	Service     string `json:"service"`
	Domain      string `json:"domain"`
	State       string `json:"state"`
	Suspect     bool   `json:"suspect"`
}

// maxDumpedLeases bounds the nodes listed in the state dump; the directory counts cover all nodes.
const maxDumpedLeases = 1000

// Dump returns the state of the control instance for the admin interface. It contains no secrets.
func (c *Control) Dump(time.Time) any {
	st := c.replica.Status()
	root := c.root.Status()
	directory := c.directory.Status()
	now := crclock.Now()
	confirmAge, _ := c.confirm.Age(now)
	lastError := ""
	if st.LastError != nil {
		lastError = st.LastError.Error()
	}
	return struct {
		Role         string       `json:"role"`
		Name         string       `json:"name"`
		MemberID     uint64       `json:"member_id"`
		LogRole      string       `json:"log_role"`
		Term         uint64       `json:"term"`
		Leader       string       `json:"leader_address"`
		Leads        bool         `json:"in_charge"`
		LeaseMS      int64        `json:"lease_ms"`
		First        uint64       `json:"first_index"`
		Last         uint64       `json:"last_index"`
		Commit       uint64       `json:"commit_index"`
		Applied      uint64       `json:"applied_index"`
		Snapshot     uint64       `json:"snapshot_index"`
		LogBytes     int64        `json:"log_bytes"`
		LastError    string       `json:"last_error"`
		Settled      bool         `json:"members_settled"`
		Members      []memberDump `json:"members"`
		Observers    int          `json:"observers"`
		Overflow     uint64       `json:"ring_overflow"`
		Version      string       `json:"version"`
		Confirmed    bool         `json:"version_confirmed"`
		ConfirmedMS  int64        `json:"confirmed_age_ms"`
		Tree         any          `json:"tree"`
		Directory    any          `json:"directory"`
		Leases       []leaseDump  `json:"leases"`
		InnerSession int          `json:"inner_sessions"`
	}{
		Role: "control", Name: c.Settings.Name, MemberID: c.replica.ID, LogRole: st.Role.String(), Term: st.Term, Leader: st.LeaderAddress,
		Leads: st.Leads, LeaseMS: st.Lease.Milliseconds(), First: st.First, Last: st.Last, Commit: st.Commit, Applied: st.StateApplied,
		Snapshot: st.SnapshotIndex, LogBytes: st.LogBytes, LastError: lastError, Settled: st.Settled, Members: c.dumpMembers(),
		Observers: st.Observers, Overflow: st.Overflow, Version: c.stateMachine.Version().String(), Confirmed: c.confirm.Valid(now),
		ConfirmedMS: confirmAge.Milliseconds(),
		Tree: struct {
			Version  string   `json:"version"`
			Children []string `json:"children"`
			Nodes    int      `json:"nodes"`
			Minimum  string   `json:"minimum_version"`
		}{root.Version.String(), root.Children, root.Progress.Nodes, root.Progress.Minimum.String()},
		Directory: dumpDirectory(directory), Leases: c.dumpLeases(), InnerSession: c.endpoint.SessionCount(),
	}
}

func dumpDirectory(d crdirectory.Status) any {
	return struct {
		Entries  int      `json:"entries"`
		Owned    int      `json:"owned"`
		Suspects int      `json:"suspects"`
		Services int      `json:"services"`
		Notices  int      `json:"notices"`
		Watchers int      `json:"watchers"`
		Peers    []string `json:"peers"`
		Settled  bool     `json:"settled"`
	}{d.Entries, d.Owned, d.Suspects, d.Services, d.Notices, d.Watchers, d.Peers, d.Settled}
}

func (c *Control) dumpMembers() []memberDump {
	st := c.replica.Status()
	out := make([]memberDump, 0, len(st.Members))
	for _, m := range st.Members {
		d := memberDump{ID: m.ID, Name: m.Name, Address: m.Address, Learner: m.Learner}
		for _, f := range st.Followers {
			if f.ID == m.ID {
				d.Match, d.ContactMS = f.Match, f.Contact.Milliseconds()
			}
		}
		out = append(out, d)
	}
	return out
}

func (c *Control) dumpLeases() []leaseDump {
	entries, _ := c.directory.Members()
	entries = entries[:min(len(entries), maxDumpedLeases)]
	out := make([]leaseDump, 0, len(entries))
	for _, e := range entries {
		out = append(out, leaseOf(e))
	}
	return out
}

func leaseOf(e *crwire.DirectoryEntry) leaseDump {
	return leaseDump{e.GetNode(), e.GetIncarnation(), e.GetService(), e.GetDomain(), serverStates[e.GetState()], e.GetSuspect()}
}

// gauges declares the counters and registers the gauges, whose values are computed when they are read.
func (c *Control) gauges() {
	c.Counters.Declare(counterNames...)
	c.Counters.Gauge("term", func() any { return c.replica.Status().Term })
	c.Counters.Gauge("commit_index", func() any { return c.replica.Status().Commit })
	c.Counters.Gauge("in_charge", func() any { return c.replica.Status().Leads })
	c.Counters.Gauge("nodes", func() any { return c.root.Status().Progress.Nodes })
	c.Counters.Gauge("ring_overflow", func() any { return c.replica.Status().Overflow })
}
