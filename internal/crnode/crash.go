package crnode

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronramp/citronramp/pkg/crcode"
	"github.com/citronramp/citronramp/pkg/crquarantine"
)

// crashRetryAfter gives the suspects of a crash time to reach the other gates of the service.
const crashRetryAfter = time.Second

// isolated runs the call unless its fingerprint crashed backend servers; a suspect runs alone.
func (n *Node) isolated(ctx context.Context, r *run) answer {
	f := crquarantine.FingerprintOf(r.req.GetService(), r.req.GetKind(), r.req.GetBody())
	if n.Policy != Adaptive {
		return n.execute(ctx, r)
	}
	if a, ok := n.startRun(f); !ok {
		return a
	}
	a := n.execute(ctx, r)
	if (a.code == crcode.AnswerLost || a.code == crcode.AnswerTruncated) && n.crashed(ctx, r.backend, r.req.GetKind()) {
		return answer{code: crcode.ServerDied, retryAfter: crashRetryAfter}
	}
	n.endRun(f, r.req.GetKind(), a)
	if a.code == crcode.NoServer {
		n.refused(ctx, r.backend)
	}
	return a
}

// startRun asks the quarantine for leave to run.
func (n *Node) startRun(f crquarantine.Fingerprint) (answer, bool) {
	n.crashMu.Lock()
	defer n.crashMu.Unlock()
	now := time.Now()
	if n.view.Convicted(f.String(), now) {
		n.Counters.Add("quarantine_refused", 1)
		return refusal(crcode.Quarantined, "fingerprint "+f.String()), false
	}
	switch n.quarantine.Started(now, f) {
	case crquarantine.Admitted:
		return answer{}, true
	case crquarantine.Refused:
		n.Counters.Add("quarantine_refused", 1)
		return refusal(crcode.Quarantined, "fingerprint "+f.String()), false
	}
	n.Counters.Add("quarantine_waits", 1)
	return answer{code: crcode.Overloaded, detail: "a request that may crash servers runs alone", retryAfter: crashRetryAfter}, false
}

// endRun ends a run after which the backend server is alive; only a whole answer clears a suspect, since the backend
// server may still work on a request that was cancelled or ran out of time.
func (n *Node) endRun(f crquarantine.Fingerprint, kind string, a answer) {
	n.crashMu.Lock()
	defer n.crashMu.Unlock()
	switch a.code {
	case crcode.OK:
		n.quarantine.Finished(time.Now(), f)
	case crcode.DeadlineRunning, crcode.CancelledRun:
		n.quarantine.Abandoned(time.Now(), f)
		n.abandoned = conviction{f, kind}
	default:
		n.quarantine.Cancelled(f)
	}
}

// crashed finds out whether the backend server died, and if so makes suspects of all requests that it ran; kind is that
// of the run that noticed, which is the convicted one when it ran alone.
func (n *Node) crashed(ctx context.Context, ann Announcement, kind string) bool {
	n.crashMu.Lock()
	defer n.crashMu.Unlock()
	if n.crashedInstance == ann.Instance {
		return true
	}
	last, _ := n.lease.current(time.Now())
	if last.Instance != ann.Instance {
		// Another instance has taken over, and its requests are not to blame.
		return true
	}
	if alive(context.WithoutCancel(ctx), ann.Address) {
		return false
	}
	n.died(ann, kind)
	return true
}

// refused takes a backend server that refuses connections without having left for dead; the request that found it so
// did not reach it.
func (n *Node) refused(ctx context.Context, ann Announcement) {
	n.crashMu.Lock()
	defer n.crashMu.Unlock()
	last, _ := n.lease.current(time.Now())
	if n.crashedInstance == ann.Instance || last.Instance != ann.Instance || last.State == StateLeaving {
		return
	}
	if refuses(context.WithoutCancel(ctx), ann.Address) {
		n.died(ann, "")
	}
}

// died makes suspects of all requests that a dead backend server ran; the caller holds crashMu.
func (n *Node) died(ann Announcement, kind string) {
	n.crashedInstance = ann.Instance
	n.lease.end(ann.Instance)
	n.Counters.Add("server_crashes", 1)
	entries := n.quarantine.Crashed(time.Now())
	_ = level.Info(n.Logger).Log("msg", "backend server died", "instance", ann.Instance, "suspects", len(entries))
	n.publishSuspects(entries, kind)
}

// replaced takes a new instance for the crash of the one before, unless that one was leaving.
func (n *Node) replaced(before, now Announcement) {
	if before.Instance == "" || before.Instance == now.Instance || before.State == StateLeaving {
		return
	}
	n.crashMu.Lock()
	defer n.crashMu.Unlock()
	if n.crashedInstance != before.Instance {
		n.died(before, "")
	}
}
