package crspread

import (
	"time"

	"github.com/citronramp/citronramp/internal/crconfig"
)

// maxViewRetryShift limits how often the interval between full resyncs doubles while the view keeps rejecting updates.
// Without the back-off, a view that no resync repairs would make its parent send the whole configuration twice a second.
const maxViewRetryShift = 6

// viewState tracks which updates the node's own view has applied.
type viewState struct {
	// version is the version that the view has in force.
	version crconfig.Version
	// refusals counts the updates rejected since the last applied one; refusedAt is the time of the first rejection.
	refusals  int
	refusedAt time.Time
	// retryAt is when the whole view is requested from the parent again.
	retryAt time.Time
}

// UpdateResult records whether the node's view applied an Update; the caller must call it after each Update. After an error
// the next update is full, and the version isn't acknowledged until the view has applied it.
func (c *Core) UpdateResult(now time.Time, u Update, err error) []Output {
	v := &c.view
	if err == nil {
		*v = viewState{version: u.Version}
		return c.takeOutputs()
	}
	if v.refusals == 0 {
		v.refusedAt, v.retryAt = now, now
	}
	v.refusals++
	c.counters.ViewRefusals++
	c.local.needsFull = true
	return c.takeOutputs()
}

// retryRefusedView requests the whole view from the parent, with back-off, after the node's view rejected an update.
func (c *Core) retryRefusedView(now time.Time) {
	v := &c.view
	if v.refusals == 0 || now.Before(v.retryAt) {
		return
	}
	c.requestResync(now)
	v.retryAt = now.Add(resyncInterval << min(v.refusals, maxViewRetryShift))
}

// viewConfirmedAt returns the time of the leader's last confirmation that is valid for the version in the node's view; a
// confirmation after the first rejected update is not.
func (c *Core) viewConfirmedAt() time.Time {
	if c.view.refusals > 0 && c.view.refusedAt.Before(c.confirmedAt) {
		return c.view.refusedAt
	}
	return c.confirmedAt
}
