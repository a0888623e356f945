package crcoord

import (
	"slices"
	"time"

	"github.com/citronramp/citronramp/internal/crdirectory"
	"github.com/citronramp/citronramp/internal/crreplica"
	"github.com/citronramp/citronramp/pkg/crlog"
	"github.com/citronramp/citronramp/pkg/crquorum"
)

// Dump returns the state of the coordinator for the admin interface.
func (c *Coordinator) Dump(now time.Time) any {
	return struct {
		Name      string             `json:"name"`
		At        time.Time          `json:"at"`
		Version   uint64             `json:"version"`
		Confirmed bool               `json:"confirmed"`
		Peers     []string           `json:"peers"`
		Log       crreplica.Status   `json:"log"`
		Directory crdirectory.Status `json:"directory"`
	}{
		c.Settings.Name, now, c.version(), c.confirmed(), c.peers.seenWithin(now, peerRetention), c.replica.Status(),
		c.directory.Status(),
	}
}

func (c *Coordinator) gauges() {
	c.Counters.Declare("hello_failed", "inner_accept_failed", "inner_refused", "quota_messages", "quota_unanswered")
	c.Counters.Gauge("log_term", func() any { return c.replica.Status().Term })
	c.Counters.Gauge("log_applied", func() any { return c.replica.Status().StateApplied })
	c.Counters.Gauge("leads", func() any { return c.replica.Status().Leads })
	c.Counters.Gauge("members", func() any { return len(c.replica.Status().Members) })
	c.Counters.Gauge("config_version", func() any { return c.version() })
	c.Counters.Gauge("quota_nodes", func() any { n, _, _ := c.quotas.counts(); return n })
	c.Counters.Gauge("quota_organisations", func() any { _, n, _ := c.quotas.counts(); return n })
	c.Counters.Gauge("quota_withheld", func() any { _, _, f := c.quotas.counts(); return f })
	c.Counters.Gauge("directory_entries", func() any { return c.directory.Status().Entries })
}

// SetSeeds replaces the addresses of Settings.Seeds while the coordinator runs.
func (c *Coordinator) SetSeeds(seeds []string) { c.peers.setSeeds(seeds) }

// Members returns the current membership of the log.
func (c *Coordinator) Members() crlog.Members { return c.replica.Status().Members }

// Leads reports whether this coordinator is the leader of the log.
func (c *Coordinator) Leads() bool { return c.replica.Status().Leads }

// MemberID returns the log member id of this coordinator.
func (c *Coordinator) MemberID() uint64 { return c.replica.ID }

// MemberCaughtUp reports whether this coordinator leads and the given member is a voter that answered recently and holds
// all committed entries.
func (c *Coordinator) MemberCaughtUp(id uint64) bool {
	s := c.replica.Status()
	for _, f := range s.Followers {
		if f.ID == id && s.Leads && f.Match >= s.Commit && f.Contact < crquorum.DiskLossTimeout {
			return slices.Contains(s.Members.Voters(), id)
		}
	}
	return false
}
