package crcoord

import (
	"time"

	"github.com/citronramp/citronramp/internal/crdirectory"
	"github.com/citronramp/citronramp/internal/crreplica"
)

// Dump returns the state of the coordinator.
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
		c.Settings.Name, now, c.version(), c.confirmed(), c.peers.live(now, forgetAfter), c.replica.Status(), c.directory.Status(),
	}
}

func (c *Coordinator) gauges() {
	c.Counters.Declare("hello_failed", "inner_refused")
	c.Counters.Gauge("log_term", func() any { return c.replica.Status().Term })
	c.Counters.Gauge("log_applied", func() any { return c.replica.Status().StateApplied })
	c.Counters.Gauge("leads", func() any { return c.replica.Status().Leads })
	c.Counters.Gauge("members", func() any { return len(c.replica.Status().Members) })
	c.Counters.Gauge("config_version", func() any { return c.version() })
	c.Counters.Gauge("directory_entries", func() any { return c.directory.Status().Entries })
}

// SetSeeds replaces the coordinators that the settings name.
func (c *Coordinator) SetSeeds(seeds []string) { c.peers.setSeeds(seeds) }
