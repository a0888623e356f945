package crforward

import (
	"context"
	"time"

	"github.com/citronramp/citronramp/internal/crcoord"
	"github.com/citronramp/citronramp/internal/crwire"
	"github.com/citronramp/citronramp/pkg/crclock"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crquota"
)

// Times of the requests for tokens.
const (
	// quotaTick is the interval at which the node looks whether tokens are needed.
	quotaTick = 25 * time.Millisecond
	// lateQuotaAnswer is how long an answer may take before the next request goes through the other coordinator. Usually one
	// takes less than 80 ms.
	lateQuotaAnswer = 150 * time.Millisecond
)

// acquireQuotas asks for tokens until ctx ends, while the configuration has quotas.
func (n *Node) acquireQuotas(ctx context.Context) {
	tick := time.NewTicker(quotaTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-n.quotas.wake:
		}
		if t := n.table.Load(); t == nil || !t.HasQuotas() {
			continue
		}
		now := crclock.Now()
		n.quotas.mu.Lock()
		req, due := n.quotas.wallet.Ask(now)
		n.quotas.mu.Unlock()
		n.logBelowQuota(now)
		if due {
			n.wg.Go(func() { n.askForTokens(ctx, now, req) })
		}
	}
}

// askForTokens sends a request for tokens to a coordinator and stores the answer.
func (n *Node) askForTokens(ctx context.Context, sent time.Time, req crquota.Request) {
	ctx, cancel := context.WithTimeout(ctx, n.quotas.wallet.Lifetime)
	defer cancel()
	q := &n.quotas
	q.mu.Lock()
	second := q.useSecond
	q.mu.Unlock()
	late := time.AfterFunc(lateQuotaAnswer, func() { q.avoid(second) })
	grants, err := n.callQuota(ctx, second, req)
	late.Stop()
	now := crclock.Now()
	if err != nil {
		n.Counters.Add("quota_unanswered", 1)
		q.avoid(second)
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if err != nil {
		q.wallet.Failed(req)
		return
	}
	q.wallet.Answer(now, sent, req, crcoord.DecodeQuotaGrants(grants))
	q.answerWaiters(now)
}

func (n *Node) callQuota(ctx context.Context, second bool, req crquota.Request) (*crwire.QuotaGrants, error) {
	addresses := n.coordinators.linked()
	if len(addresses) == 0 {
		return nil, crcode.New(crcode.NoLeader, "no coordinator is linked")
	}
	address := addresses[0]
	if second {
		address = addresses[len(addresses)-1]
	}
	s, err := n.endpoint.Session(ctx, address)
	if err != nil {
		return nil, err
	}
	return crwire.Call[crwire.QuotaGrants](ctx, s, crcoord.MethodQuota, crcoord.EncodeQuotaAcquire(req))
}

// avoid makes the next requests use the other link than the given one.
func (q *quotas) avoid(second bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.useSecond = !second
}
