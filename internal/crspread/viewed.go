package crspread

import (
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
)

// viewRetryMax bounds the doubling of the time between full resyncs for a view that goes on refusing: a view that no
// resync repairs must not cost its parent the whole configuration twice a second.
const viewRetryMax = 6

// viewState is what the node's own view took of the updates.
type viewState struct {
	// version is what the view has in force.
	version crconfig.Version
	// refusals counts the updates refused since the last one that was taken, of which refusedAt is the first.
	refusals  int
	refusedAt time.Time
	// retryAt is when the parent is asked again for the whole view.
	retryAt time.Time
}

// Viewed takes what the node's view made of an Update; it must follow each one. After a refusal the next update is full,
// and the version is not acknowledged until the view has taken it.
func (c *Core) Viewed(now time.Time, u Update, err error) []Output {
	v := &c.view
	if err == nil {
		*v = viewState{version: u.Version}
		return c.take()
	}
	if v.refusals == 0 {
		v.refusedAt, v.retryAt = now, now
	}
	v.refusals++
	c.counts.ViewRefusals++
	c.local.resync = true
	return c.take()
}

// retryView asks the parent for the whole view when the node's view refused an update.
func (c *Core) retryView(now time.Time) {
	v := &c.view
	if v.refusals == 0 || now.Before(v.retryAt) {
		return
	}
	c.askResync(now)
	v.retryAt = now.Add(resyncInterval << min(v.refusals, viewRetryMax))
}

// viewConfirmedAt returns when a leader last confirmed what the node's view has in force.
func (c *Core) viewConfirmedAt() time.Time {
	if c.view.refusals > 0 && c.view.refusedAt.Before(c.confirmedAt) {
		return c.view.refusedAt
	}
	return c.confirmedAt
}
