package crnode

import (
	"context"
	"time"

	"github.com/citronramp/citronramp/internal/crkeeper"
	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crrecord"
)

// claims is the part of the record keeper client that a node uses.
type claims interface {
	Claim(ctx context.Context, now crrecord.Instant, id crrecord.ID, digest crrecord.Digest) (crkeeper.Grant, error)
	Complete(now crrecord.Instant, g crkeeper.Grant, answer crrecord.Answer) bool
	Release(g crkeeper.Grant) bool
	CountArrival(ctx context.Context, id crrecord.ID, slots, want int) (int, error)
}

// claimTimeout bounds the round trip to the record keepers; between failure domains it takes 2 to 3 ms.
const claimTimeout = 500 * time.Millisecond

// claimRetryAfter is the retry delay that callers get after a failed claim.
const claimRetryAfter = 200 * time.Millisecond

// runOnce runs a request that may not be repeated. The claim is granted before the run, and the completion is recorded
// after it.
func (n *Node) runOnce(ctx context.Context, r *run) answer {
	digest := crrecord.DigestOf(r.req.GetService(), r.req.GetKind(), r.req.GetBody())
	claimCtx, cancel := context.WithTimeout(ctx, min(claimTimeout, n.remaining(r.deadline)))
	grant, err := n.claims.Claim(claimCtx, n.clock(), r.id, digest)
	cancel()
	if err != nil {
		n.Counters.Add("claims_refused", 1)
		a := refusalFromError(err)
		if a.code == crcode.ClaimFailed && a.retryAfter == 0 {
			a.retryAfter = claimRetryAfter
		}
		return a
	}
	if grant.Replayed {
		n.Counters.Add("answers_replayed", 1)
		return replayedAnswer(grant.Answer)
	}
	if n.remaining(r.deadline) < minRemainingTime {
		n.claims.Release(grant)
		return refusal(crcode.DeadlineExpired, "after the claim")
	}
	a := n.executeWithQuarantine(ctx, r)
	switch {
	case !mayHaveStarted(a):
		n.claims.Release(grant)
	case a.code == crcode.OK:
		n.claims.Complete(n.clock(), grant, crrecord.Answer{Status: a.status, ContentType: a.contentType, Body: a.body})
	}
	return a
}

// replayedAnswer returns the stored answer of an earlier run.
func replayedAnswer(a crrecord.Answer) answer {
	if a.Omitted {
		return refusal(crcode.AnswerNotKept, "")
	}
	return answer{code: crcode.Replayed, status: a.Status, contentType: a.ContentType, body: a.Body}
}
